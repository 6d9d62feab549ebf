package peer

import (
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"github.com/gravitational/trace"
)

const (
	// A nonce is random but for its end, which identifies the sender's gob descriptions. A process that does not
	// know of the digest sends random bytes there and is taken for one with other descriptions.
	nonceBytes  = 32
	digestBytes = 8
	// handshakeTimeout is that of a call, which waits for the handshake.
	handshakeTimeout = callTimeout
	// The labels differ by direction, so that an answer of one side cannot be reflected to it.
	serverLabel = "basillink peer server 1"
	clientLabel = "basillink peer client 1"
)

// handshakeClient proves knowledge of the secret to a server and checks the server's proof. The proofs authenticate
// both ends at the start of a connection; the bytes that follow are neither encrypted nor signed. It reports whether
// both ends describe the frequent types alike.
func handshakeClient(conn net.Conn, secret string) (bool, error) {
	own, err := startHandshake(conn)
	if err != nil {
		return false, trace.Wrap(err)
	}
	if _, err := conn.Write(own); err != nil {
		return false, trace.Wrap(err)
	}
	answer := make([]byte, nonceBytes+sha256.Size)
	if _, err := io.ReadFull(conn, answer); err != nil {
		return false, trace.Wrap(err)
	}
	other, sum := answer[:nonceBytes], answer[nonceBytes:]
	if !hmac.Equal(sum, proof(secret, serverLabel, own, other)) {
		return false, &AuthError{Address: conn.RemoteAddr().String()}
	}
	if _, err := conn.Write(proof(secret, clientLabel, own, other)); err != nil {
		return false, trace.Wrap(err)
	}
	return sameTypes(own, other), trace.Wrap(conn.SetDeadline(time.Time{}))
}

// handshakeServer is the other end of handshakeClient.
func handshakeServer(conn net.Conn, secret string) (bool, error) {
	own, err := startHandshake(conn)
	if err != nil {
		return false, trace.Wrap(err)
	}
	other := make([]byte, nonceBytes)
	if _, err := io.ReadFull(conn, other); err != nil {
		return false, trace.Wrap(err)
	}
	if _, err := conn.Write(append(own, proof(secret, serverLabel, other, own)...)); err != nil {
		return false, trace.Wrap(err)
	}
	sum := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, sum); err != nil {
		return false, trace.Wrap(err)
	}
	if !hmac.Equal(sum, proof(secret, clientLabel, other, own)) {
		return false, &AuthError{Address: conn.RemoteAddr().String()}
	}
	return sameTypes(own, other), trace.Wrap(conn.SetDeadline(time.Time{}))
}

func startHandshake(conn net.Conn) ([]byte, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, err
	}
	nonce := make([]byte, nonceBytes)
	copy(nonce[nonceBytes-digestBytes:], typesDigest)
	_, err := rand.Read(nonce[:nonceBytes-digestBytes])
	return nonce, err
}

func sameTypes(own, other []byte) bool {
	return bytes.Equal(own[nonceBytes-digestBytes:], other[nonceBytes-digestBytes:])
}

func proof(secret, label string, clientNonce, serverNonce []byte) []byte {
	mac := hmac.New(sha256.New, []byte(secret))
	mac.Write([]byte(label))
	mac.Write(clientNonce)
	mac.Write(serverNonce)
	return mac.Sum(nil)
}
