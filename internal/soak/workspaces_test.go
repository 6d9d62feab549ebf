package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/routes"
	"github.com/basillink/basillink/platform/platformtest"
)

// Bounds of the users' platform, which are the defaults of the settings under bounds.
const (
	revocationTime = 5 * time.Second
	quotaWindow    = 5 * time.Second
	quotaOverage   = 0.1
	quotaSlack     = 20
	// minServedShare is the share of its quota that a workspace that asks for more gets at least in calm times.
	minServedShare = 0.25
	calmTime       = 2 * time.Second
)

const (
	keyPrefix       = "key-"
	forgedWorkspace = "forged"
	// oldKeyRatio and unknownKeyRatio are the shares of requests with a key that was revoked, or that never was in force.
	oldKeyRatio, unknownKeyRatio = 0.3, 0.05
)

// soakWorkspaces are the workspaces of the test. Callers ask for several times the rate of those that have one.
var soakWorkspaces = []routes.Workspace{{Name: "w0"}, {Name: "w1", Rate: 20, Burst: 10}, {Name: "w2", Rate: 3, Burst: 2}}

// keyBook knows the keys that were ever in force. It is safe for concurrent use.
type keyBook struct {
	mu sync.Mutex
	// current holds the key in force by workspace, and old those that were revoked.
	current map[string]string
	old     map[string][]string
	// revokedAt holds the time at which the store had acknowledged that a key was taken away.
	revokedAt map[string]time.Time
	issued    int
}

func newKeyBook() *keyBook {
	b := &keyBook{current: map[string]string{}, old: map[string][]string{}, revokedAt: map[string]time.Time{}}
	for _, w := range soakWorkspaces {
		b.issue(w.Name)
	}
	return b
}

// issue replaces the key of a workspace and returns the former one. No other goroutine may use b, unless it holds b.mu.
func (b *keyBook) issue(workspace string) string {
	former := b.current[workspace]
	b.issued++
	b.current[workspace] = fmt.Sprintf("%s%s-%d", keyPrefix, workspace, b.issued)
	if former != "" {
		b.old[workspace] = append(b.old[workspace], former)
	}
	return former
}

// adjust adds the workspaces with their keys in force to a configuration.
func (b *keyBook) adjust(c *routes.Config) map[string][]string {
	b.mu.Lock()
	defer b.mu.Unlock()
	keys := map[string][]string{}
	for workspace, key := range b.current {
		keys[workspace] = []string{key}
	}
	c.Workspaces = soakWorkspaces
	for n := range c.Routes {
		c.Routes[n].Public = c.Routes[n].Name == "log"
	}
	return keys
}

// replace replaces the key of a random workspace in the store.
func (b *keyBook) replace(h *harness, random *rand.Rand) {
	b.mu.Lock()
	former := b.issue(soakWorkspaces[random.IntN(len(soakWorkspaces))].Name)
	b.mu.Unlock()
	h.publishConfig()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.revokedAt[former] = time.Now()
}

// draw returns a random workspace and a key that it holds or held, or a key that was never in force and no workspace.
func (b *keyBook) draw(random *rand.Rand) (workspace, key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	workspace = soakWorkspaces[random.IntN(len(soakWorkspaces))].Name
	chance, old := random.Float64(), b.old[workspace]
	switch {
	case chance < unknownKeyRatio:
		return "", fmt.Sprintf("%sunknown-%d", keyPrefix, random.IntN(10))
	case chance < unknownKeyRatio+oldKeyRatio && len(old) > 0:
		return workspace, old[random.IntN(len(old))]
	}
	return workspace, b.current[workspace]
}

// cutInstance cuts a random instance off from the store for a time.
func cutInstance(ctx context.Context, h *harness, random *rand.Rand) {
	i := h.instances[random.IntN(len(h.instances))]
	i.storeFront.SetCut(true)
	sleep(ctx, randomMillis(random, 1000, 7000))
	i.storeFront.SetCut(false)
}

// isolateInstance cuts a random instance off from the store, and freezes all others.
func isolateInstance(ctx context.Context, h *harness, random *rand.Rand) {
	alone, length := h.instances[random.IntN(len(h.instances))], randomMillis(random, 2000, 7000)
	alone.storeFront.SetCut(true)
	defer alone.storeFront.SetCut(false)
	var group sync.WaitGroup
	for _, i := range h.instances {
		if i != alone {
			group.Go(func() { h.disturb(ctx, i, syscall.SIGSTOP, syscall.SIGCONT, length) })
		}
	}
	group.Wait()
}

// ownerFault returns a fault of the instance that owns the shared limits.
func ownerFault(sig, resume syscall.Signal) func(context.Context, *harness, *rand.Rand) {
	return func(ctx context.Context, h *harness, random *rand.Rand) {
		owner := h.store.CreditOwner()
		for _, i := range h.instances {
			if i.id == owner {
				h.disturb(ctx, i, sig, resume, randomMillis(random, 200, 2500))
			}
		}
	}
}

// longFreeze freezes a random instance for a time that may be longer than revocationTime.
func longFreeze(ctx context.Context, h *harness, random *rand.Rand) {
	i := h.instances[random.IntN(len(h.instances))]
	h.disturb(ctx, i, syscall.SIGSTOP, syscall.SIGCONT, randomMillis(random, 2000, 7000))
}

// workspaceFaults are the faults under which keys and quotas are checked. The store is not restored, because that brings keys back.
var workspaceFaults = []fault{
	{"store down", storeFault(platformtest.Faults{Down: true})},
	{"store slow", storeFault(platformtest.Faults{Delay: 240 * time.Millisecond})},
	{"store silent for long", func(ctx context.Context, h *harness, random *rand.Rand) {
		h.store.SetFaults(platformtest.Faults{Silent: true})
		sleep(ctx, randomMillis(random, 3000, 7000))
		h.store.SetFaults(platformtest.Faults{})
	}},
	{"instance cut off from the store", cutInstance},
	{"instance cut off from all", isolateInstance},
	{"instance frozen for long", longFreeze},
	{"instance killed", instanceFault(syscall.SIGKILL, 0)},
	{"instance stopped", instanceFault(syscall.SIGTERM, 0)},
	{"owner killed", ownerFault(syscall.SIGKILL, 0)},
	{"owner stopped", ownerFault(syscall.SIGTERM, 0)},
	{"target loses answers", targetFault(platformtest.TargetFaults{Slowdown: 1, LostAnswerRate: 0.3})},
	{"target crashes", crashTarget},
}

// Guards against keys that are used after they were taken away, that reach targets or name another workspace, and against
// workspaces that run more than their quota, while the owner of the quotas and other instances are killed, frozen and cut off.
func TestSoakWithWorkspaces(t *testing.T) {
	book := newKeyBook()
	h := newHarness(t, func(h *harness) {
		h.adjustConfig, h.faults = book.adjust, workspaceFaults
		h.everyBatch = []fault{{"owner frozen", ownerFault(syscall.SIGSTOP, syscall.SIGCONT)}}
		h.runs.KeepArrivals()
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	faultCtx, cancelFaults := context.WithTimeout(ctx, settleTime+time.Duration(*seconds)*time.Second)
	defer cancelFaults()
	var group sync.WaitGroup
	group.Go(func() { h.sendHeartbeats(ctx) })
	h.awaitReady()
	for n := range callerCount {
		group.Go(func() { h.runKeyCaller(ctx, book, rand.New(rand.NewPCG(*seed, uint64(100+n))), callerAddress(n)) })
	}
	sleep(ctx, settleTime)
	group.Go(func() {
		random := rand.New(rand.NewPCG(*seed, 5))
		for ; faultCtx.Err() == nil; sleep(faultCtx, randomMillis(random, 300, 1500)) {
			book.replace(h, random)
		}
	})
	h.injectFaults(faultCtx, rand.New(rand.NewPCG(*seed, 2)))
	h.store.SetFaults(platformtest.Faults{})
	sleep(ctx, settleTime)
	h.checkKeysInForce(ctx, book)
	calmSince := time.Now()
	sleep(ctx, calmTime)
	cancel()
	group.Wait()
	h.checkExecutions()
	arrivals := h.runs.Arrivals()
	h.checkKeys(book, arrivals)
	h.checkQuotas(arrivals, calmSince)
	h.reportViolations()
	t.Logf("seed %d: %d requests, %d served, %d keys", *seed, h.requestCount.Load(), h.servedCount.Load(), book.issued)
}

// runKeyCaller sends random requests with keys from an address through random instances until ctx is done.
func (h *harness) runKeyCaller(ctx context.Context, book *keyBook, random *rand.Rand, address string) {
	client := newClient(address, random.IntN(2) != 0)
	defer client.CloseIdleConnections()
	paths := []string{"/read/x", "/book/x", "/log/x"}
	for ctx.Err() == nil {
		r := &request{id: fmt.Sprintf("k%d", h.requestCount.Add(1)), path: paths[random.IntN(len(paths))]}
		r.idempotent = r.path != "/book/x"
		r.workspace, r.key = book.draw(random)
		h.sendRequest(ctx, client, h.instances[random.IntN(len(h.instances))], r)
		sleep(ctx, time.Duration(random.IntN(60))*time.Millisecond)
	}
}

// checkKeysInForce verifies that after the faults each instance serves requests with the newest key of an unlimited workspace.
func (h *harness) checkKeysInForce(ctx context.Context, book *keyBook) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for _, i := range h.instances {
		served, statuses := 0, []int(nil)
		for range 10 {
			r := &request{id: fmt.Sprintf("k%d", h.requestCount.Add(1)), path: "/read/x", idempotent: true}
			r.workspace, r.key = "w0", book.current["w0"]
			if h.sendRequest(ctx, client, i, r) != "" {
				served++
			}
			statuses = append(statuses, r.status)
		}
		if float64(served) < minRecoveredRatio*10 {
			h.recordViolation("DENIED", "instance %s serves %d of 10 requests with the newest key: %v", i.id, served, statuses)
		}
	}
}

// checkKeys verifies what the targets saw of keys and workspaces.
func (h *harness) checkKeys(book *keyBook, arrivals []platformtest.Arrival) {
	for _, a := range arrivals {
		for name, values := range a.Header {
			if strings.Contains(name+strings.Join(values, ""), keyPrefix) {
				h.recordViolation("UNASKED", "target %s got a key in the header %s", a.Target, name)
			}
		}
		value, known := h.requests.Load(a.ID)
		if !known {
			continue // checkExecutions reports it.
		}
		r := value.(*request)
		public := strings.HasPrefix(r.path, "/log/")
		if a.Workspace != r.workspace && (!public || a.Workspace != "") {
			h.recordViolation("UNASKED", "%s of workspace %q arrived for workspace %q", r.path, r.workspace, a.Workspace)
		}
		if public {
			continue
		}
		if r.workspace == "" {
			h.recordViolation("ROUTE", "request %s ran with the key %s, which never was in force", r.id, r.key)
		}
		if revokedAt, revoked := book.revokedAt[r.key]; revoked && a.At.Sub(revokedAt) > revocationTime {
			h.recordViolation("CONFIG", "request %s arrived %s after its key was taken away", r.id, a.At.Sub(revokedAt))
		}
		if r.status == http.StatusUnauthorized {
			h.recordViolation("REFUSED", "request %s was refused with %d and arrived", r.id, r.status)
		}
	}
}

// checkQuotas verifies that no window has more runs of a workspace than its quota allows, and that workspaces that ask for more
// get a part of it since calmSince.
func (h *harness) checkQuotas(arrivals []platformtest.Arrival, calmSince time.Time) {
	for _, w := range soakWorkspaces {
		if w.Rate == 0 {
			continue
		}
		var times []time.Time
		calm := 0
		for _, a := range arrivals {
			if a.Workspace == w.Name && a.Ran {
				times = append(times, a.At)
				if a.At.After(calmSince) {
					calm++
				}
			}
		}
		bound := (w.Rate*quotaWindow.Seconds()+w.Burst)*(1+quotaOverage) + quotaSlack
		fullest, at := fullestWindow(times, quotaWindow)
		h.t.Logf("workspace %s: %d runs, %d in the fullest window, bound %.1f; %d in calm times", w.Name, len(times), fullest, bound, calm)
		if float64(fullest) > bound {
			h.recordViolation("QUOTA", "%d requests of workspace %s ran in %s from %s on, bound %.1f", fullest, w.Name, quotaWindow, at.Sub(h.started), bound)
		}
		if float64(calm) < minServedShare*w.Rate*calmTime.Seconds() {
			h.recordViolation("STARVED", "%d requests of workspace %s ran in the last %s, rate %.0f", calm, w.Name, calmTime, w.Rate)
		}
	}
}

// fullestWindow returns the largest number of the ascending times that a window of the given length holds, and its first one.
func fullestWindow(times []time.Time, length time.Duration) (count int, at time.Time) {
	first := 0
	for last := range times {
		for times[last].Sub(times[first]) >= length {
			first++
		}
		if last-first+1 > count {
			count, at = last-first+1, times[first]
		}
	}
	return count, at
}
