package settings

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/basillink/basillink/internal/strictoml"
)

// Error reports settings that are not accepted.
type Error struct {
	File     string
	Key      string
	Value    string
	Accepted string
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: value %q is not accepted; accepted: %s", e.File, e.Key, e.Value, e.Accepted)
}

// Load reads a settings file, fills in defaults and validates.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Decode(file, data)
}

// Decode decodes settings strictly, fills in defaults and validates. File names the source in errors.
func Decode(file string, data []byte) (*Settings, error) {
	// Defaults come first, so that a zero in the file is a value and is validated.
	var s Settings
	s.SetDefaults()
	if err := strictoml.Decode(file, data, &s); err != nil {
		return nil, describe(file, err, Fields())
	}
	if err := s.Validate(file); err != nil {
		return nil, err
	}
	return &s, nil
}

// describe turns a decoding error into one that names key, value and what is accepted.
func describe(file string, err error, fields []Field) error {
	var decode *strictoml.Error
	if !errors.As(err, &decode) {
		return err
	}
	e := &Error{File: file, Key: decode.Key, Value: hideSecret(decode.Key, decode.Value)}
	if decode.Key == "" {
		e.Key = fmt.Sprintf("line %d", decode.Line)
	}
	e.Accepted = accepted(decode, fields)
	return e
}

func accepted(decode *strictoml.Error, fields []Field) string {
	if decode.Unknown {
		return "a known key: " + strings.Join(siblings(decode.Key, fields), ", ")
	}
	for _, field := range fields {
		if field.Key == decode.Key {
			return field.Type + ": " + field.Accepted
		}
	}
	return "valid TOML: " + firstLine(decode.Detail)
}

// firstLine returns the part of a decoder's message that says what is wrong.
func firstLine(detail string) string {
	lines := strings.Split(strings.TrimSpace(detail), "\n")
	for _, line := range lines {
		if _, message, found := strings.Cut(line, "~ "); found {
			return message
		}
	}
	return lines[0]
}

// siblings returns the keys of the section that a key is in, or all sections.
func siblings(key string, fields []Field) []string {
	section, _, _ := strings.Cut(key, ".")
	var sections, keys []string
	for _, field := range fields {
		other, _, _ := strings.Cut(field.Key, ".")
		if other == section {
			keys = append(keys, field.Key)
		}
		if len(sections) == 0 || sections[len(sections)-1] != other {
			sections = append(sections, other)
		}
	}
	if len(keys) > 0 {
		return keys
	}
	return sections
}

// hideSecret keeps secrets out of error messages and logs.
func hideSecret(key, value string) string {
	if key == secretKey {
		return "(hidden)"
	}
	return value
}
