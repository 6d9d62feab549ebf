package routes

import (
	"crypto/sha256"
	"fmt"
	"math"
)

// Workspace is a customer of the services. Its callers identify themselves by one of its keys.
type Workspace struct {
	Name string
	// Keys are the hashes of the keys in force.
	Keys []KeyHash
	// Priority ranks workspaces. 0 is the highest priority. It takes precedence over the priority of the route.
	Priority int
	// Rate is the number of requests per second that all instances together run for the workspace, and Burst the number that it
	// may save up. A rate of 0 means no limit.
	Rate, Burst float64
}

// KeyHash is the hash of a key. Keys are kept and passed between instances only as hashes.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key []byte) KeyHash { return sha256.Sum256(key) }

// addWorkspaces validates the workspaces of a configuration and indexes them by their keys.
func (t *Table) addWorkspaces(workspaces []Workspace) error {
	t.workspaces = map[KeyHash]*Workspace{}
	names := map[string]bool{}
	for i := range workspaces {
		w := &workspaces[i]
		if w.Name == "" || names[w.Name] {
			return &ConfigError{Version: t.Version, Detail: fmt.Sprintf("workspace %q has no name of its own", w.Name)}
		}
		names[w.Name] = true
		if !validLimit(w.Rate) || !validLimit(w.Burst) {
			return &ConfigError{Version: t.Version, Detail: fmt.Sprintf("workspace %q has the rate %v and burst %v", w.Name, w.Rate, w.Burst)}
		}
		for _, key := range w.Keys {
			if t.workspaces[key] != nil && t.workspaces[key] != w {
				return &ConfigError{Version: t.Version, Detail: fmt.Sprintf("workspaces %q and %q share a key", t.workspaces[key].Name, w.Name)}
			}
			t.workspaces[key] = w
		}
	}
	return nil
}

func validLimit(v float64) bool { return v >= 0 && !math.IsInf(v, 0) && !math.IsNaN(v) }

// RequiresKeys reports whether the configuration has workspaces, so that routes that are not public need a key.
func (t *Table) RequiresKeys() bool { return t.requiresKeys }

// Workspace returns the workspace that holds a key, or nil if the key is unknown.
func (t *Table) Workspace(key KeyHash) *Workspace { return t.workspaces[key] }
