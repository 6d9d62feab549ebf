package intent

import (
	"errors"
	"testing"
)

// Guards against a record that ends every instance that reads it: one of a newer format that is followed by further bytes.
func TestRecordOfNewerFormatWithTrailingBytes(t *testing.T) {
	var malformed *RecordError
	if _, err := DecodeRecord([]byte(`{"kind":"change","format":2} x`)); !errors.As(err, &malformed) {
		t.Errorf("error %v, want a *RecordError", err)
	}
	var unsupported *FormatError
	if _, err := DecodeRecord([]byte(`{"kind":"change","format":2,"new":1}`)); !errors.As(err, &unsupported) {
		t.Errorf("error %v, want a *FormatError", err)
	}
}
