package fleet

import (
	"context"
	"time"

	"github.com/basillink/basillink/internal/routes"
)

// After a restore from an older copy, the store lacks a configuration that instances have in force until the operator writes it
// again. An instance that starts then takes it over from one of them.

// newerConfig is a configuration newer than the one in force, of which a peer told.
type newerConfig struct {
	version uint64
	address string
	// The version was told first at toldAt, and last at heardAt.
	toldAt, heardAt time.Time
	// nextFetch is the earliest time of the next fetch from the peer.
	nextFetch time.Time
	// withheld is an older configuration that the store or another peer has. It is not used before withheldUntil.
	withheld       *routes.Config
	withheldSource string
	withheldUntil  time.Time
}

const (
	// withholdTime is how long an instance without a configuration waits for a newer one than it read.
	withholdTime = time.Second
	// newerConfigWait is how long an instance waits for a read of the store that returns the newer configuration. Leaders read
	// at once, and the others fetch it from their leader.
	newerConfigWait = 500 * time.Millisecond
	// newerConfigRetry is the pause between two fetches, in case this instance rejects what the peer has in force.
	newerConfigRetry = 300 * time.Millisecond
)

// tell records that a peer has a version in force.
func (c *newerConfig) tell(version uint64, address string, now time.Time) {
	if version < c.version {
		return
	}
	if version > c.version {
		c.toldAt = now
	}
	c.version, c.address, c.heardAt = version, address, now
}

// applyNewestConfig applies a configuration that was read from the store or a peer. If no configuration is in force and a peer
// told of a newer one, it is withheld until that was fetched.
func (n *Node) applyNewestConfig(config *routes.Config, source string, now time.Time) {
	told := &n.newerConfig
	if n.table == nil && config != nil && config.Version < told.version && now.Sub(told.heardAt) < withholdTime {
		if told.withheld == nil {
			told.withheldUntil = now.Add(withholdTime)
		}
		told.withheld, told.withheldSource = config, source
		return
	}
	n.applyConfig(config, source, now)
}

// fetchNewerConfig fetches a configuration from the peer that told of it, if a read of the store since then did not return it or
// none succeeded for some time.
func (n *Node) fetchNewerConfig(ctx context.Context, now time.Time) {
	told := &n.newerConfig
	if told.version <= n.configVersion() {
		n.newerConfig = newerConfig{}
		return
	}
	if told.withheld != nil && !now.Before(told.withheldUntil) {
		n.Log.Warn("Could not fetch a newer configuration of a peer.", "version", told.version, "address", told.address)
		n.applyConfig(told.withheld, told.withheldSource, now)
		told.withheld = nil
	}
	due := told.withheld != nil || n.configsTopic.AsOf.After(told.toldAt) || now.Sub(told.toldAt) >= newerConfigWait
	if !due || now.Before(told.nextFetch) {
		return
	}
	told.nextFetch = now.Add(newerConfigRetry)
	n.fetchState(ctx, told.address, now)
}
