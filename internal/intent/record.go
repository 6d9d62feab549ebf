package intent

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/BurntSushi/toml"

	"github.com/basillink/basillink/internal/logservice"
	"github.com/basillink/basillink/internal/panicguard"
	"github.com/basillink/basillink/operator"
)

// RecordKind is the kind of a log record.
type RecordKind string

// Kinds of records.
const (
	KindChange     RecordKind = "change"
	KindCheckpoint RecordKind = "checkpoint"
)

// Change creates, replaces or removes one service. It is accepted if Base is the current revision of the service.
type Change struct {
	// ID is unique for each change. It lets the writer find the change in the log and identifies duplicates.
	ID      string `json:"id"`
	Author  string `json:"author"`
	Service string `json:"service"`
	// Base is the revision of the service that the change is based on. See State.CurrentRevision for removed and new services.
	Base logservice.Offset `json:"base"`
	// Spec is TOML intent that holds exactly this service. An empty Spec removes the service.
	Spec string `json:"spec"`
}

// MaxRecordFormat is the highest record format that this version supports. A writer uses the lowest format that can
// represent the record. For format 1 it omits the field Format, because the first version does not know that field and
// would reject the record.
const MaxRecordFormat = 1

// Record is the payload of a log record: a change or a checkpoint, depending on Kind.
type Record struct {
	Kind RecordKind `json:"kind"`
	// Format is the record format. 0 means format 1.
	Format     int         `json:"format,omitempty"`
	Change     *Change     `json:"change,omitempty"`
	Checkpoint *Checkpoint `json:"checkpoint,omitempty"`
}

// RecordError reports a log record or a delta that is malformed or not acceptable.
type RecordError struct{ Detail string }

func (e *RecordError) Error() string { return "log record: " + e.Detail }

// FormatError reports a log record whose format is newer than MaxRecordFormat.
type FormatError struct {
	Offset logservice.Offset
	Kind   RecordKind
	Format int
	// Service is the service that a change applies to, empty if it is unknown.
	Service string
}

func (e *FormatError) Error() string {
	return fmt.Sprintf("log record %d has format %d, this version supports formats up to %d", e.Offset, e.Format, MaxRecordFormat)
}

// EncodeService returns TOML intent that holds only the service s.
func EncodeService(s operator.Service) (string, error) {
	var b bytes.Buffer
	in := operator.Intent{Services: []operator.Service{s}}
	if err := toml.NewEncoder(&b).Encode(in); err != nil {
		return "", err
	}
	return b.String(), nil
}

// DecodeRecord decodes the payload of a log record. It returns a *FormatError for a record of a newer format, in which it
// reads only the kind, the format and the name of the service, and a *RecordError for a malformed record. The specs of
// changes and the digests of checkpoints are not checked.
func DecodeRecord(payload []byte) (*Record, error) {
	var record *Record
	err := panicguard.Catch(func() (err error) {
		record, err = decodeRecord(payload)
		return err
	})
	var panicked *panicguard.Error
	if errors.As(err, &panicked) {
		return nil, &RecordError{Detail: err.Error()}
	}
	return record, err
}

func decodeRecord(payload []byte) (*Record, error) {
	var r Record
	decoder := json.NewDecoder(bytes.NewReader(payload))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&r); err != nil {
		return nil, classifyDecodeError(payload, err)
	}
	switch {
	case r.Format > MaxRecordFormat:
		return nil, classifyDecodeError(payload, &FormatError{Kind: r.Kind, Format: r.Format})
	case r.Format < 0:
		return nil, &RecordError{Detail: fmt.Sprintf("format %d is negative", r.Format)}
	case r.Kind == KindChange && r.Change != nil:
	case r.Kind == KindCheckpoint && r.Checkpoint != nil:
	default:
		return nil, &RecordError{Detail: fmt.Sprintf("kind %q is unknown or its content is missing", r.Kind)}
	}
	return &r, nil
}

// classifyDecodeError returns a *FormatError if the payload is a record of a newer format, otherwise a *RecordError with
// the text of cause.
func classifyDecodeError(payload []byte, cause error) error {
	var header struct {
		Kind   RecordKind      `json:"kind"`
		Format int             `json:"format"`
		Change json.RawMessage `json:"change"`
	}
	if err := json.Unmarshal(payload, &header); err != nil {
		return &RecordError{Detail: err.Error()}
	}
	if header.Format <= MaxRecordFormat {
		return &RecordError{Detail: cause.Error()}
	}
	var change struct {
		Service string `json:"service"`
	}
	_ = json.Unmarshal(header.Change, &change) // Service stays empty if the newer format has another structure.
	return &FormatError{Kind: header.Kind, Format: header.Format, Service: change.Service}
}

// Encode returns the record as the payload of a log record.
func (r *Record) Encode() ([]byte, error) { return json.Marshal(r) }

// decodeSpec decodes and validates the spec, which must hold exactly the service that the change names.
func (c *Change) decodeSpec() (*operator.Service, error) {
	in, err := Decode("change "+c.ID, []byte(c.Spec))
	if err != nil {
		return nil, err
	}
	if len(in.Services) != 1 || in.Services[0].Name != c.Service {
		return nil, &RecordError{Detail: fmt.Sprintf("the spec of change %s does not hold the service %q and no other", c.ID, c.Service)}
	}
	return &in.Services[0], nil
}
