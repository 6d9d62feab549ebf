package edge

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/registry"
	"github.com/basillink/basillink/internal/routes"
	"github.com/basillink/basillink/internal/settings"
	"github.com/basillink/basillink/internal/standin/rawtarget"
	"github.com/basillink/basillink/platform"
	"github.com/basillink/basillink/platform/platformtest"
)

// freeAddress returns an address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// startEdge runs an instance of a store until the test ends, and returns its settings.
func startEdge(t *testing.T, store *platformtest.Store, bounds string) *settings.Edge {
	t.Helper()
	text := fmt.Sprintf(`
[instance]
id = "i1"
zone = "z"
[listen]
caller = %q
readiness = %q
peer = %q
[store]
address = %q
[peer]
bootstrap = true
[bounds]
%s
grace_s = 1
`, freeAddress(t), freeAddress(t), freeAddress(t), store.Address(), bounds)
	s, err := settings.DecodeEdge("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	e, err := New(s, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return s
}

// keyedConfig returns a configuration with the workspace "w" and a route that is not public.
func keyedConfig(version uint64) *routes.Config {
	return &routes.Config{
		Version: version, Services: []routes.Service{{Name: "s", HealthPath: "/health", MaxConnections: 100}},
		Routes: []routes.Route{{
			Name: "r", Host: "h", PathPrefix: "/r/", Idempotent: true, Timeout: 2 * time.Second, LatencyObjective: time.Second, MaxAttempts: 1,
			Split: []routes.Share{{Service: "s", Weight: 1}},
		}},
		Workspaces: []routes.Workspace{{Name: "w", Priority: 1}},
	}
}

// Guards against an instance that is assembled without the checks of keys: a key that is forwarded, one that is served after it was
// taken away, in touch with the store or not, and an instance that receives new callers while it can serve none with a key.
func TestEdgeServesKeysWhileCurrent(t *testing.T) {
	const revocation = 2 * time.Second
	store := platformtest.NewStore()
	closed := false
	defer func() {
		if !closed {
			store.Close()
		}
	}()
	var wrong atomic.Int64
	target := rawtarget.Start(t, func(conn net.Conn, r *http.Request, _ int64) bool {
		if r.URL.Path != "/health" && (r.Header.Get(platform.Headers().Workspace) != "w" || r.Header.Get(platform.Headers().Key) != "") {
			wrong.Add(1)
		}
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", platform.Headers().RequestID, r.Header.Get(platform.Headers().RequestID))
		return err == nil
	})
	store.PutKeyedConfig(keyedConfig(1), map[string][]string{"w": {"k1", "k2"}})
	store.PutTarget(&registry.Entry{ID: "t0", Address: target.Address(), Service: "s", Zone: "z", Slots: 8, Born: 1}, 1)
	s := startEdge(t, store, "revoke_s = 2")
	number := 0
	get := func(key string) string {
		number++
		status, reason, err := platformtest.Caller{Address: s.Listen.Caller, Host: "h", Key: key}.Get(t.Context(), fmt.Sprint("id", number), "/r/x")
		if err != nil {
			return err.Error()
		}
		return strings.TrimSpace(fmt.Sprint(status, " ", reason))
	}
	// Beside load, an instance may not learn for a while that its keys are current.
	answers := func(key, want string) {
		t.Helper()
		await(t, fmt.Sprintf("%q for the key %q", want, key), 3*revocation, func() bool { return get(key) == want })
	}
	answers("k1", "200")
	answers("k2", "200")
	answers("k3", "401 unknown_key")
	answers("", "401 unknown_key")
	// servedUntil returns when a key was served last, after a moment, while another answer is awaited.
	servedUntil := func(key, want string) (last time.Duration) {
		t.Helper()
		start := time.Now()
		await(t, fmt.Sprintf("%q for the key %q", want, key), 3*revocation, func() bool {
			sent := time.Since(start)
			got := get(key)
			if got == "200" {
				last = sent
			}
			return got == want
		})
		return last
	}
	store.PutKeyedConfig(keyedConfig(2), map[string][]string{"w": {"k1"}})
	if last := servedUntil("k2", "401 unknown_key"); last >= revocation {
		t.Errorf("a key that was taken away was served for %s, bound %s", last, revocation)
	}
	answers("k1", "200")
	store.Close()
	closed = true
	if last := servedUntil("k1", "503 keys_outdated"); last >= revocation {
		t.Errorf("without the store, keys were served for %s, bound %s", last, revocation)
	}
	if isReady(t, s) {
		t.Error("the instance is ready although it serves no keys")
	}
	if got := get("k3"); got != "503 keys_outdated" {
		t.Errorf("a key that may be new: %q", got)
	}
	if wrong.Load() != 0 {
		t.Errorf("%d requests reached the target with a key or without their workspace", wrong.Load())
	}
}

// await fails the test unless a condition holds within a time.
func await(t *testing.T, what string, limit time.Duration, holds func() bool) {
	t.Helper()
	for start := time.Now(); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Since(start) > limit {
			t.Fatalf("%s took longer than %s", what, limit)
		}
	}
}

func isReady(t *testing.T, s *settings.Edge) bool {
	t.Helper()
	answer, err := http.Get("http://" + s.Listen.Readiness + platform.ReadinessPath)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	_, _ = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode == http.StatusOK
}
