package soak

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/basillink/basillink/platform/platformtest"
)

const (
	// lostConfigs is the number of configurations that a restore loses. As many are written after it, so that the topic ends where
	// the instances have read to.
	lostConfigs = 3
	// configBound is how long after it was written a configuration has to be in force.
	configBound = 2 * time.Second
)

// Guards against configurations that no instance ever reads: the store was restored from an older copy, and gave the offsets of
// those that it lost out again before the next read.
func TestConfigurationAfterRestore(t *testing.T) {
	h := newHarness(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go h.sendHeartbeats(ctx)
	h.awaitReady()
	sleep(ctx, configBound)
	copied := time.Now()
	for range lostConfigs {
		h.publishConfig()
	}
	sleep(ctx, configBound)
	h.checkConfigInForce(ctx, "before the restore")

	h.store.SetFaults(platformtest.Faults{Down: true})
	h.store.Restore(time.Since(copied))
	for range lostConfigs {
		h.publishConfig()
	}
	h.store.SetFaults(platformtest.Faults{})
	sleep(ctx, configBound)
	h.checkConfigInForce(ctx, "after the restore")
	h.reportViolations()
}

// checkConfigInForce records the instances that do not use the newest configuration.
func (h *harness) checkConfigInForce(ctx context.Context, when string) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for _, i := range h.instances {
		if service := h.send(ctx, client, i, "/which/x", true); service != serviceOf(h.configVersion) {
			h.recordViolation("CONFIG", "%s instance %s answers from %q, not from %s", when, i.id, service, serviceOf(h.configVersion))
		}
	}
}
