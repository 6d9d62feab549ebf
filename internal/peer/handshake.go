package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"github.com/gravitational/trace"
)

const (
	nonceBytes = 32
	// handshakeTimeout is that of a call, which waits for the handshake.
	handshakeTimeout = callTimeout
	// The labels differ by direction, so that an answer of one side cannot be reflected to it.
	serverLabel = "basillink peer server 1"
	clientLabel = "basillink peer client 1"
)

// handshakeClient proves knowledge of the secret to a server and checks the server's proof. The proofs authenticate
// both ends at the start of a connection; the bytes that follow are neither encrypted nor signed.
func handshakeClient(conn net.Conn, secret string) error {
	own, err := startHandshake(conn)
	if err != nil {
		return trace.Wrap(err)
	}
	if _, err := conn.Write(own); err != nil {
		return trace.Wrap(err)
	}
	answer := make([]byte, nonceBytes+sha256.Size)
	if _, err := io.ReadFull(conn, answer); err != nil {
		return trace.Wrap(err)
	}
	other, sum := answer[:nonceBytes], answer[nonceBytes:]
	if !hmac.Equal(sum, proof(secret, serverLabel, own, other)) {
		return &AuthError{Address: conn.RemoteAddr().String()}
	}
	if _, err := conn.Write(proof(secret, clientLabel, own, other)); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(conn.SetDeadline(time.Time{}))
}

// handshakeServer is the other end of handshakeClient.
func handshakeServer(conn net.Conn, secret string) error {
	own, err := startHandshake(conn)
	if err != nil {
		return trace.Wrap(err)
	}
	other := make([]byte, nonceBytes)
	if _, err := io.ReadFull(conn, other); err != nil {
		return trace.Wrap(err)
	}
	if _, err := conn.Write(append(own, proof(secret, serverLabel, other, own)...)); err != nil {
		return trace.Wrap(err)
	}
	sum := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, sum); err != nil {
		return trace.Wrap(err)
	}
	if !hmac.Equal(sum, proof(secret, clientLabel, other, own)) {
		return &AuthError{Address: conn.RemoteAddr().String()}
	}
	return trace.Wrap(conn.SetDeadline(time.Time{}))
}

func startHandshake(conn net.Conn) ([]byte, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, err
	}
	nonce := make([]byte, nonceBytes)
	_, err := rand.Read(nonce)
	return nonce, err
}

func proof(secret, label string, clientNonce, serverNonce []byte) []byte {
	mac := hmac.New(sha256.New, []byte(secret))
	mac.Write([]byte(label))
	mac.Write(clientNonce)
	mac.Write(serverNonce)
	return mac.Sum(nil)
}
