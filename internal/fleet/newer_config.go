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
	toldAt  time.Time
	// withheld is an older configuration that the store has. It is not used before withheldUntil.
	withheld      *routes.Config
	withheldUntil time.Time
}

// withholdTime is how long an instance without a configuration waits for a newer one than the store has.
const withholdTime = time.Second

// applyStoredConfig applies a configuration that was read from the store. If no configuration is in force and a peer told of a
// newer one, it is withheld until that was fetched.
func (n *Node) applyStoredConfig(config *routes.Config, now time.Time) {
	told := &n.newerConfig
	if n.table == nil && config.Version < told.version && now.Sub(told.toldAt) < withholdTime {
		told.withheld, told.withheldUntil = config, now.Add(withholdTime)
		return
	}
	n.applyConfig(config, "store", now)
}

// fetchNewerConfig fetches a configuration from the peer that told of it if a read of the store since then did not return it.
func (n *Node) fetchNewerConfig(ctx context.Context, now time.Time) {
	told := &n.newerConfig
	if told.version <= n.configVersion() {
		n.newerConfig = newerConfig{}
		return
	}
	if told.withheld != nil && !now.Before(told.withheldUntil) {
		n.Log.Warn("Could not fetch a newer configuration than that of the store.", "version", told.version, "address", told.address)
		n.applyConfig(told.withheld, "store", now)
		told.withheld = nil
	}
	if told.withheld != nil || n.configsTopic.asOf.After(told.toldAt) {
		n.fetchState(ctx, told.address, now)
	}
}
