// Package strictoml decodes TOML and refuses unknown keys.
package strictoml

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Error reports input that is not valid TOML, has an unknown key or a value of the wrong type.
type Error struct {
	Source string
	Detail string
	// Key is the dotted key, empty for a syntax error.
	Key string
	// Value is the text of the value, empty when the input has none.
	Value string
	// Line counts from 1, 0 when it is not known.
	Line int
	// Unknown is true for a key that the target type does not have.
	Unknown bool
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Source, e.Detail) }

// Decode decodes data into v, which may hold defaults. Source names the input in errors, which are of type *Error.
func Decode(source string, data []byte, v any) error {
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return convert(source, data, err)
	}
	return nil
}

func convert(source string, data []byte, err error) *Error {
	result := &Error{Source: source, Detail: err.Error()}
	var strict *toml.StrictMissingError
	var decode *toml.DecodeError
	switch {
	case errors.As(err, &strict) && len(strict.Errors) > 0:
		result.Detail = "unknown key:\n" + strict.String()
		result.Unknown = true
		result.locate(data, &strict.Errors[0])
	case errors.As(err, &decode):
		result.Detail = decode.String()
		result.locate(data, decode)
	}
	return result
}

func (e *Error) locate(data []byte, cause *toml.DecodeError) {
	e.Key = strings.Join(cause.Key(), ".")
	e.Line, _ = cause.Position()
	lines := strings.Split(string(data), "\n")
	if e.Line < 1 || e.Line > len(lines) {
		return
	}
	_, value, _ := strings.Cut(lines[e.Line-1], "=")
	e.Value = strings.TrimSpace(value)
}
