// Package intent decodes routing intent and folds the change records of the
// platform's log into the configuration in force. Decoding, folding and digests
// are deterministic: instances that read the same records reach the same state.
package intent

import (
	"github.com/gravitational/trace"

	"github.com/basillink/basillink/internal/strictoml"
	"github.com/basillink/basillink/operator"
)

// Decode decodes TOML intent, fills in defaults and validates the result. It rejects unknown keys. The source names the
// input in errors.
func Decode(source string, data []byte) (*operator.Intent, error) {
	var in operator.Intent
	if err := strictoml.Decode(source, data, &in); err != nil {
		return nil, err
	}
	in.Provision()
	if err := in.Validate(); err != nil {
		return nil, trace.Wrap(err, "%s", source)
	}
	return &in, nil
}
