package operator

import (
	"io"

	"github.com/BurntSushi/toml"
)

// Print sets defaults in the intent with Provision, validates it and writes it to w as TOML. If the intent is invalid,
// it returns an *InvalidValueError and writes nothing.
func (in *Intent) Print(w io.Writer) error {
	in.Provision()
	if err := in.Validate(); err != nil {
		return err
	}
	encoder := toml.NewEncoder(w)
	encoder.Indent = ""
	return encoder.Encode(in)
}
