package soak

import (
	"context"
	"math"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/routes"
)

const (
	// splitRequests is the number of requests from which on the platform tolerates a deviation of splitDeviation from the weights.
	splitRequests  = 300
	splitDeviation = 0.1
	// versionTimeout bounds the wait for a version to be in force, so that a test that fails ends.
	versionTimeout = 10 * time.Second
)

// addSplit adds a route to a configuration that distributes its requests evenly over both services.
func addSplit(config *routes.Config) map[string][]string {
	either := config.Routes[0]
	either.Name, either.PathPrefix = "either", "/either/"
	either.Split = []routes.Share{{Service: "s0", Weight: 50}, {Service: "s1", Weight: 50}}
	config.Routes = append(config.Routes, either)
	return nil
}

// awaitVersion waits until an instance serves with the newest version, which the answering service of /which/ reveals.
func (h *harness) awaitVersion(ctx context.Context, client *http.Client, i *instance) bool {
	h.mu.Lock()
	want := serviceOf(h.configVersion)
	h.mu.Unlock()
	for deadline := time.Now().Add(versionTimeout); time.Now().Before(deadline); sleep(ctx, 20*time.Millisecond) {
		if h.send(ctx, client, i, "/which/x", true) == want {
			return true
		}
	}
	return false
}

// Guards against instances that each begin the split of a new version with the same service, so that a fleet with few requests in each
// version deviates from the weights.
func TestSplitKeepsWeightsOverVersions(t *testing.T) {
	h := newHarness(t, func(h *harness) { h.adjustConfig = addSplit })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go h.sendHeartbeats(ctx)
	var mu sync.Mutex
	counts := map[string]int{}
	for counts["s0"]+counts["s1"] < splitRequests {
		h.publishConfig()
		var group sync.WaitGroup
		for number, i := range h.instances {
			group.Go(func() {
				client := newClient(callerAddress(number), true)
				defer client.CloseIdleConnections()
				if !h.awaitVersion(ctx, client, i) {
					t.Errorf("instance %s does not serve with the newest version", i.id)
				}
				service := h.send(ctx, client, i, "/either/x", true)
				mu.Lock()
				defer mu.Unlock()
				counts[service]++
			})
		}
		group.Wait()
		if t.Failed() {
			return
		}
	}
	served := counts["s0"] + counts["s1"]
	t.Logf("requests by service: %v", counts)
	if share := float64(counts["s0"]) / float64(served); math.Abs(share-0.5) > splitDeviation {
		t.Errorf("the first service got %.3f of %d requests, want 0.5 within %.1f", share, served, splitDeviation)
	}
}
