// Package workspace identifies the workspace of a request by the key that its caller sends, and decides until when an instance
// may rely on the keys that it knows. It reads no clock and logs nothing: keys must not reach a log.
package workspace

import (
	"crypto/subtle"
	"strings"

	"github.com/basillink/basillink/internal/framing"
	"github.com/basillink/basillink/internal/routes"
)

// Headers are the names of the headers that carry a key to this instance and the name of a workspace to a target.
type Headers struct {
	key, foldedKey, foldedWorkspace string
}

// NewHeaders returns the headers with these names.
func NewHeaders(key, workspace string) Headers {
	return Headers{key: key, foldedKey: fold(key), foldedWorkspace: fold(workspace)}
}

// Withholds reports whether a header of a caller must not reach a target. Servers that pass headers on as environment variables
// do not tell "X_Key" from "X-Key", so all such spellings are withheld.
func (h Headers) Withholds(name []byte) bool {
	if len(name) != len(h.foldedKey) && len(name) != len(h.foldedWorkspace) {
		return false
	}
	folded := fold(string(name))
	return folded == h.foldedKey || folded == h.foldedWorkspace
}

// fold maps all spellings of a header name that a server may take for the same one to one string.
func fold(name string) string {
	return strings.Map(func(c rune) rune {
		switch {
		case 'A' <= c && c <= 'Z':
			return c + 'a' - 'A'
		case 'a' <= c && c <= 'z' || '0' <= c && c <= '9':
			return c
		}
		return '-'
	}, name)
}

// Caller is the caller of a request. The zero value is one that needed no key.
type Caller struct {
	// Workspace is the workspace that holds the caller's key.
	Workspace *routes.Workspace
	key       routes.KeyHash
}

// Identify returns the caller whose key is in the header lines of a request. It returns false unless exactly one line has a key,
// and a workspace of the configuration holds it.
func (h Headers) Identify(table *routes.Table, lines []byte) (Caller, bool) {
	count := 0
	var key routes.KeyHash
	framing.Visit(lines, func(name, value []byte) {
		if strings.EqualFold(string(name), h.key) && len(value) > 0 {
			key = routes.HashKey(value)
		}
		if fold(string(name)) == h.foldedKey {
			count++
		}
	})
	if count != 1 {
		return Caller{}, false
	}
	w := table.Workspace(key)
	return Caller{Workspace: w, key: key}, holds(w, key)
}

// holds compares a key with all keys of a workspace in constant time.
func holds(w *routes.Workspace, key routes.KeyHash) bool {
	if w == nil {
		return false
	}
	equal := 0
	for i := range w.Keys {
		equal |= subtle.ConstantTimeCompare(w.Keys[i][:], key[:])
	}
	return equal == 1
}

// HoldsKeyIn reports whether the same workspace holds the caller's key in a later configuration.
func (c Caller) HoldsKeyIn(table *routes.Table) bool {
	w := table.Workspace(c.key)
	return holds(w, c.key) && w.Name == c.Workspace.Name
}

// Name returns the name of the caller's workspace, or an empty string if the caller needed no key.
func (c Caller) Name() string {
	if c.Workspace == nil {
		return ""
	}
	return c.Workspace.Name
}
