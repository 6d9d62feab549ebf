package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/basillink/basillink/platform/platformtest"
)

// Bounds of the users' rule: after the third crash and the window, three more sends by instances that were not disturbed in it.
const (
	crashesOfRule   = 3
	sendsOfRule     = 3
	stabilityWindow = 3 * time.Second
)

// crashLog holds what became of a request that crashes each server that runs it.
type crashLog struct {
	mu      sync.Mutex
	crashes []time.Time
	// sends are the requests that were sent to an instance which had been calm for the window.
	sends []crashSend
}

type crashSend struct {
	id string
	at time.Time
}

// sendCrashing sends the request again and again at any instance until the context ends.
func (w *world) sendCrashing(ctx context.Context, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		pause(ctx, between(random, 150, 700))
		i := w.instances[random.IntN(len(w.instances))]
		calm, at := i.calmFor(stabilityWindow), time.Now()
		id := fmt.Sprintf("c%d", w.count.Add(1))
		w.sendAs(ctx, client, i, id, "/read"+platformtest.CrashPathSuffix, true)
		if calm && i.calmFor(stabilityWindow) {
			w.crashes.mu.Lock()
			w.crashes.sends = append(w.crashes.sends, crashSend{id, at})
			w.crashes.mu.Unlock()
		}
	}
}

// replaceCrashed takes the entry of a server away that a request ended, and starts another one.
func (w *world) replaceCrashed(id string) {
	w.crashes.mu.Lock()
	w.crashes.crashes = append(w.crashes.crashes, time.Now())
	w.crashes.mu.Unlock()
	w.mu.Lock()
	at := slices.IndexFunc(w.targets, func(t *platformtest.Target) bool { return t.ID == id })
	if at < 0 {
		w.mu.Unlock()
		return
	}
	target := w.targets[at]
	w.targets = slices.Delete(w.targets, at, at+1)
	w.gone = append(w.gone, target)
	w.mu.Unlock()
	time.Sleep(time.Second)
	w.store.DropTarget(id)
	w.addTarget(target.Service, "")
}

// checkCrashes judges the sends after the third crash.
func (w *world) checkCrashes() {
	w.crashes.mu.Lock()
	defer w.crashes.mu.Unlock()
	w.t.Logf("a request that crashes servers ended %d", len(w.crashes.crashes))
	for _, at := range w.crashes.crashes {
		w.t.Logf("%6.2f s it ended one", at.Sub(w.started).Seconds())
	}
	if len(w.crashes.crashes) < crashesOfRule {
		return
	}
	ran := map[string]int{}
	w.runs.Each(func(id string, runs int) { ran[id] = runs })
	bound, late := w.crashes.crashes[crashesOfRule-1].Add(stabilityWindow), 0
	for _, s := range w.crashes.sends {
		if s.at.After(bound) {
			late += ran[s.id]
		}
	}
	if late > sendsOfRule {
		w.fail("BUDGET", "a request that crashes servers reached %d of them after the third crash, %d ended", late, len(w.crashes.crashes))
	}
}
