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
	// A nonce consists of random bytes followed by digestBytes bytes of the sender's typesDigest. A version without
	// the digest sends random bytes there and is treated as having different type descriptors.
	nonceBytes  = 32
	digestBytes = 8
	// handshakeTimeout equals callTimeout, because a call waits for the handshake.
	handshakeTimeout = callTimeout
	// The labels differ by direction, so that the proof of one side cannot be reflected back to it.
	serverLabel = "basillink peer server 1"
	clientLabel = "basillink peer client 1"
)

// handshakeClient authenticates both ends of a new connection by HMACs of the shared secret over both nonces. It
// reports whether both ends have the same type descriptors, and returns an *AuthError if the server's proof is wrong.
// The data that follows is neither encrypted nor authenticated.
func handshakeClient(conn net.Conn, secret string) (bool, error) {
	ownNonce, err := startHandshake(conn)
	if err != nil {
		return false, trace.Wrap(err)
	}
	if _, err := conn.Write(ownNonce); err != nil {
		return false, trace.Wrap(err)
	}
	response := make([]byte, nonceBytes+sha256.Size)
	if _, err := io.ReadFull(conn, response); err != nil {
		return false, trace.Wrap(err)
	}
	peerNonce, peerProof := response[:nonceBytes], response[nonceBytes:]
	if !hmac.Equal(peerProof, proof(secret, serverLabel, ownNonce, peerNonce)) {
		return false, &AuthError{Address: conn.RemoteAddr().String()}
	}
	if _, err := conn.Write(proof(secret, clientLabel, ownNonce, peerNonce)); err != nil {
		return false, trace.Wrap(err)
	}
	return equalTypeDigests(ownNonce, peerNonce), trace.Wrap(conn.SetDeadline(time.Time{}))
}

// handshakeServer is the server side of handshakeClient.
func handshakeServer(conn net.Conn, secret string) (bool, error) {
	ownNonce, err := startHandshake(conn)
	if err != nil {
		return false, trace.Wrap(err)
	}
	peerNonce := make([]byte, nonceBytes)
	if _, err := io.ReadFull(conn, peerNonce); err != nil {
		return false, trace.Wrap(err)
	}
	if _, err := conn.Write(append(ownNonce, proof(secret, serverLabel, peerNonce, ownNonce)...)); err != nil {
		return false, trace.Wrap(err)
	}
	peerProof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, peerProof); err != nil {
		return false, trace.Wrap(err)
	}
	if !hmac.Equal(peerProof, proof(secret, clientLabel, peerNonce, ownNonce)) {
		return false, &AuthError{Address: conn.RemoteAddr().String()}
	}
	return equalTypeDigests(ownNonce, peerNonce), trace.Wrap(conn.SetDeadline(time.Time{}))
}

// startHandshake sets the deadline of the handshake and returns a new nonce.
func startHandshake(conn net.Conn) ([]byte, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, err
	}
	nonce := make([]byte, nonceBytes)
	copy(nonce[nonceBytes-digestBytes:], typesDigest)
	_, err := rand.Read(nonce[:nonceBytes-digestBytes])
	return nonce, err
}

// equalTypeDigests reports whether two nonces end with the same digest of type descriptors.
func equalTypeDigests(ownNonce, peerNonce []byte) bool {
	return bytes.Equal(ownNonce[nonceBytes-digestBytes:], peerNonce[nonceBytes-digestBytes:])
}

// proof returns the HMAC-SHA256 by which the side with the given label proves knowledge of the secret.
func proof(secret, label string, clientNonce, serverNonce []byte) []byte {
	mac := hmac.New(sha256.New, []byte(secret))
	mac.Write([]byte(label))
	mac.Write(clientNonce)
	mac.Write(serverNonce)
	return mac.Sum(nil)
}
