// Package strictoml decodes TOML and refuses unknown keys.
package strictoml

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/pelletier/go-toml/v2"
)

// Error reports input that is not valid TOML, has an unknown key or a value of the wrong type.
type Error struct {
	Source string
	Detail string
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Source, e.Detail) }

// Decode decodes data into v. Source names the input in errors, which are of type *Error.
func Decode(source string, data []byte, v any) error {
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return &Error{Source: source, Detail: detail(err)}
	}
	return nil
}

func detail(err error) string {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return "unknown key:\n" + strict.String()
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		return decode.String()
	}
	return err.Error()
}
