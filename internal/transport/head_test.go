package transport

import (
	"bytes"
	"errors"
	"testing"

	"github.com/basillink/basillink/internal/panicguard"
	"github.com/basillink/basillink/internal/reason"
)

// Guards against a panic of the decoder that passes through the exchange: it has to be a malformed answer, so that the
// connection is closed and counted like after any other one.
func TestDecoderPanicIsAMalformedAnswer(t *testing.T) {
	conn := &Conn{}
	if err := conn.attach(replayConn{Reader: bytes.NewReader([]byte(okAnswer))}); err != nil {
		t.Fatal(err)
	}
	// The codec panics because there is no response to decode into.
	err := conn.readHead(&Answer{})
	var panicked *panicguard.Error
	if !errors.As(err, &panicked) || answerReason(err, conn.socketErr()) != reason.AnswerMalformed {
		t.Errorf("error %v, want a panic that counts as answer_malformed", err)
	}
}
