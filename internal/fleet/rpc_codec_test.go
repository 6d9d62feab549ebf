package fleet

import (
	"errors"
	"io"
	"net"
	"net/rpc"
	"strings"
	"testing"
)

// countingReader is a connection that counts the bytes that are read of a message.
type countingReader struct {
	net.Conn
	message io.Reader
	bytes   int
}

func (r *countingReader) Read(b []byte) (int, error) {
	n, err := r.message.Read(b)
	r.bytes += n
	return n, err
}

// Guards against a message of a peer that is held as far as it has arrived, whatever its length, and so takes the memory of the process.
func TestLongPeerMessageIsNotHeld(t *testing.T) {
	// The message begins with its length of 8 MiB, in three bytes.
	conn := &countingReader{message: io.MultiReader(strings.NewReader("\xfd\x80\x00\x00"), strings.NewReader(strings.Repeat("z", 8<<20)))}
	codec := newGobCodec(conn, maxCallBytes)
	var tooLong *MessageSizeError
	if err := codec.ReadRequestHeader(&rpc.Request{}); !errors.As(err, &tooLong) || tooLong.Bytes != 8<<20 {
		t.Errorf("error %v, want one of the size", err)
	}
	if conn.bytes > maxCallBytes {
		t.Errorf("%d bytes of the message were read, want at most %d", conn.bytes, maxCallBytes)
	}
}

// Guards against many messages, each within the limit, that exceed it together, and against lengths that the encoding does not allow.
func TestMessagesOfPeerShareTheirLimit(t *testing.T) {
	const limit = 100
	for name, c := range map[string]struct {
		stream string
		passed int
		fails  bool
	}{
		"one message":        {"\x40" + strings.Repeat("z", 64), 65, false},
		"two messages":       {"\x32" + strings.Repeat("z", 50) + "\x32" + strings.Repeat("z", 50), 102, false},
		"one byte too many":  {"\x32" + strings.Repeat("z", 50) + "\x33" + strings.Repeat("z", 51), 51, true},
		"length in a byte":   {"\xff\x64" + strings.Repeat("z", 100), 102, false},
		"too long":           {"\xff\x65" + strings.Repeat("z", 101), 0, true},
		"largest length":     {"\xf8" + strings.Repeat("\xff", 8), 0, true},
		"length of 9 bytes":  {"\xf7" + strings.Repeat("\xff", 9), 0, true},
		"cut within length":  {"\xfe\x01", 0, true},
		"cut within message": {"\x10zzz", 4, false},
		"empty messages":     {"\x00\x00\x00", 3, false},
		"nothing":            {"", 0, false},
	} {
		passed, err := io.ReadAll(newMessageReader(strings.NewReader(c.stream), limit))
		if len(passed) != c.passed || (err != nil) != c.fails || !strings.HasPrefix(c.stream, string(passed)) {
			t.Errorf("%s: %d bytes passed on, error %v", name, len(passed), err)
		}
	}
}
