package settings

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/basillink/basillink/internal/strictoml"
)

// Error reports a setting whose key or value is not accepted, or a file that is not valid TOML.
type Error struct {
	File string
	// Key is the dotted key, or "line N" if the decoder reported no key.
	Key string
	// Value is the text of the rejected value. Secrets are replaced.
	Value string
	// Accepted describes what is accepted instead.
	Accepted string
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: value %q is not accepted; accepted: %s", e.File, e.Key, e.Value, e.Accepted)
}

// Load reads a settings file, fills in defaults and validates the result. It returns an *Error if the settings are not
// accepted, and the error of os.ReadFile if the file cannot be read.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Decode(file, data)
}

// Decode decodes settings, fills in defaults and validates the result. It returns an *Error for unknown keys and for
// values that are not accepted. The argument file names the source in errors.
func Decode(file string, data []byte) (*Settings, error) {
	// Set the defaults before decoding, so that an explicit zero in the file is not replaced but validated.
	var s Settings
	s.SetDefaults()
	if err := strictoml.Decode(file, data, &s); err != nil {
		return nil, toSettingsError(file, err, Fields())
	}
	if err := s.Validate(file); err != nil {
		return nil, err
	}
	return &s, nil
}

// toSettingsError converts a *strictoml.Error into an *Error that names the key, the value and what is accepted. It
// returns other errors unchanged.
func toSettingsError(file string, err error, fields []Field) error {
	var decodeErr *strictoml.Error
	if !errors.As(err, &decodeErr) {
		return err
	}
	settingsErr := &Error{File: file, Key: decodeErr.Key, Value: redactSecret(decodeErr.Key, decodeErr.Value)}
	if decodeErr.Key == "" {
		settingsErr.Key = fmt.Sprintf("line %d", decodeErr.Line)
	}
	settingsErr.Accepted = acceptedText(decodeErr, fields)
	return settingsErr
}

// acceptedText describes what is accepted at the position of a decoding error.
func acceptedText(decodeErr *strictoml.Error, fields []Field) string {
	if decodeErr.Unknown {
		return "a known key: " + strings.Join(knownKeys(decodeErr.Key, fields), ", ")
	}
	for _, field := range fields {
		if field.Key == decodeErr.Key {
			return field.Type + ": " + field.Accepted
		}
	}
	return "valid TOML: " + decoderMessage(decodeErr.Detail)
}

// decoderMessage returns the text after the "~ " marker of a multi-line message of the TOML decoder, or its first line if
// there is no marker.
func decoderMessage(detail string) string {
	lines := strings.Split(strings.TrimSpace(detail), "\n")
	for _, line := range lines {
		if _, message, found := strings.Cut(line, "~ "); found {
			return message
		}
	}
	return lines[0]
}

// knownKeys returns the valid keys in the section of key, or the names of all sections if that section is unknown.
func knownKeys(key string, fields []Field) []string {
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

// redactSecret returns value, or a placeholder if key is a secret, so that secrets do not get into errors and logs.
func redactSecret(key, value string) string {
	if key == secretKey {
		return "(hidden)"
	}
	return value
}
