package intent

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/BurntSushi/toml"

	"github.com/basillink/basillink/internal/logservice"
	"github.com/basillink/basillink/operator"
)

// RecordKind is the kind of a log record.
type RecordKind string

// Kinds of records.
const (
	KindChange     RecordKind = "change"
	KindCheckpoint RecordKind = "checkpoint"
)

// Change replaces or removes one service. It is accepted when Base is the current revision of the service.
type Change struct {
	// ID is unique for each change, so that its writer can find it in the log.
	ID      string `json:"id"`
	Author  string `json:"author"`
	Service string `json:"service"`
	// Base is the revision on which the change was made, 0 for a service that does not exist.
	Base logservice.Offset `json:"base"`
	// Spec is the service as TOML intent with one service; empty removes the service.
	Spec string `json:"spec"`
}

// MaxRecordFormat is the highest format of records that this version understands. A writer marks a record with the lowest
// format whose readers understand it, and leaves the mark out for format 1, because the first version refuses it.
const MaxRecordFormat = 1

// Record is the payload of a log record.
type Record struct {
	Kind RecordKind `json:"kind"`
	// Format is 0 for a record of format 1.
	Format     int         `json:"format,omitempty"`
	Change     *Change     `json:"change,omitempty"`
	Checkpoint *Checkpoint `json:"checkpoint,omitempty"`
}

// RecordError reports a log record that cannot be decoded.
type RecordError struct{ Detail string }

func (e *RecordError) Error() string { return "log record: " + e.Detail }

// FormatError reports a log record of a newer format.
type FormatError struct {
	Offset logservice.Offset
	Kind   RecordKind
	Format int
	// Service is the service that a change names, empty if it is not known.
	Service string
}

func (e *FormatError) Error() string {
	return fmt.Sprintf("log record %d has the format %d, and this version understands %d", e.Offset, e.Format, MaxRecordFormat)
}

// EncodeService returns a service as TOML intent.
func EncodeService(s operator.Service) (string, error) {
	var b bytes.Buffer
	in := operator.Intent{Services: []operator.Service{s}}
	if err := toml.NewEncoder(&b).Encode(in); err != nil {
		return "", err
	}
	return b.String(), nil
}

// DecodeRecord decodes the payload of a log record. It returns a *FormatError for a record of a newer format, of which
// it relies on the kind, the format and the name of the service alone.
func DecodeRecord(payload []byte) (*Record, error) {
	var r Record
	decoder := json.NewDecoder(bytes.NewReader(payload))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&r); err != nil {
		return nil, explainRecord(payload, err)
	}
	switch {
	case r.Format > MaxRecordFormat:
		return nil, explainRecord(payload, nil)
	case r.Format < 0:
		return nil, &RecordError{Detail: fmt.Sprintf("format %d", r.Format)}
	case r.Kind == KindChange && r.Change != nil:
	case r.Kind == KindCheckpoint && r.Checkpoint != nil:
	default:
		return nil, &RecordError{Detail: fmt.Sprintf("kind %q without its content", r.Kind)}
	}
	return &r, nil
}

// explainRecord tells a record of a newer format from a malformed one.
func explainRecord(payload []byte, cause error) error {
	var mark struct {
		Kind   RecordKind      `json:"kind"`
		Format int             `json:"format"`
		Change json.RawMessage `json:"change"`
	}
	if json.Unmarshal(payload, &mark) != nil || mark.Format <= MaxRecordFormat {
		return &RecordError{Detail: cause.Error()}
	}
	var change struct {
		Service string `json:"service"`
	}
	_ = json.Unmarshal(mark.Change, &change) // the name stays empty when the change has another shape
	return &FormatError{Kind: mark.Kind, Format: mark.Format, Service: change.Service}
}

// Encode returns the payload of a log record.
func (r *Record) Encode() ([]byte, error) { return json.Marshal(r) }

func (c *Change) decodeSpec() (*operator.Service, error) {
	in, err := Decode("change "+c.ID, []byte(c.Spec))
	if err != nil {
		return nil, err
	}
	if len(in.Services) != 1 || in.Services[0].Name != c.Service {
		return nil, &RecordError{Detail: fmt.Sprintf("change %s does not hold exactly the service %q", c.ID, c.Service)}
	}
	return &in.Services[0], nil
}
