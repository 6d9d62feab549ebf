package operator

import (
	"io"

	"github.com/BurntSushi/toml"
)

// Print fills in defaults, validates the intent and writes it as TOML.
func (in *Intent) Print(w io.Writer) error {
	in.Provision()
	if err := in.Validate(); err != nil {
		return err
	}
	encoder := toml.NewEncoder(w)
	encoder.Indent = ""
	return encoder.Encode(in)
}
