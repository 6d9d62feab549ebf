// Package strictoml decodes TOML and refuses unknown keys.
package strictoml

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Error reports input that is not valid TOML, or that has an unknown key or a value of the wrong type.
type Error struct {
	// Source is the name of the input.
	Source string
	// Detail is the message of the TOML decoder, which may have several lines.
	Detail string
	// Key is the dotted key, empty if the decoder reports none, as for a syntax error.
	Key string
	// Value is the text after the first "=" on the line of the error, empty if there is none.
	Value string
	// Line is the number of the line, starting at 1. It is 0 if it is unknown.
	Line int
	// Unknown is true if the destination type does not have the key.
	Unknown bool
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Source, e.Detail) }

// Decode decodes data into v and returns an *Error if that fails. Values in v stay as they are if data does not have their
// keys, so v may hold defaults. The source names the input in errors.
func Decode(source string, data []byte, v any) error {
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return newError(source, data, err)
	}
	return nil
}

// newError converts an error of the TOML decoder.
func newError(source string, data []byte, err error) *Error {
	result := &Error{Source: source, Detail: err.Error()}
	var strict *toml.StrictMissingError
	var decode *toml.DecodeError
	switch {
	case errors.As(err, &strict) && len(strict.Errors) > 0:
		result.Detail = "unknown key:\n" + strict.String()
		result.Unknown = true
		result.setPosition(data, &strict.Errors[0])
	case errors.As(err, &decode):
		result.Detail = decode.String()
		result.setPosition(data, decode)
	}
	return result
}

// setPosition sets Key, Line and Value from the position of cause in data.
func (e *Error) setPosition(data []byte, cause *toml.DecodeError) {
	e.Key = strings.Join(cause.Key(), ".")
	e.Line, _ = cause.Position()
	lines := strings.Split(string(data), "\n")
	if e.Line < 1 || e.Line > len(lines) {
		return
	}
	_, value, _ := strings.Cut(lines[e.Line-1], "=")
	e.Value = strings.TrimSpace(value)
}
