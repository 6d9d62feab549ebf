package ingress

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/common/test/mock"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"

	"github.com/basillink/basillink/internal/dispatch"
	"github.com/basillink/basillink/internal/routes"
	"github.com/basillink/basillink/internal/standin/rawtarget"
	"github.com/basillink/basillink/internal/workspace"
)

const (
	// secretKey is the key of the workspace "w".
	secretKey = "5ecret-of-w"
	// keyValidity is how long the gateways of these tests rely on their keys.
	keyValidity = 2 * time.Second
	// outdatedAge is an age at which they do not, whatever time passes between two readings of the clock.
	outdatedAge = keyValidity + 100*time.Millisecond
)

// keyedConfig returns the configuration of a testbed with the workspace "w" and the public route /open/.
func keyedConfig(version uint64, workspaces ...routes.Workspace) *routes.Config {
	config := newRoutesConfig("s")
	open := config.Routes[0]
	open.Name, open.PathPrefix, open.Public = "open", "/open/", true
	config.Version, config.Routes, config.Workspaces = version, append(config.Routes, open), workspaces
	return config
}

func workspaceW() routes.Workspace {
	return routes.Workspace{Name: "w", Keys: []routes.KeyHash{routes.HashKey([]byte(secretKey))}}
}

// keyedTestbed is a testbed whose configuration has workspaces.
type keyedTestbed struct {
	*testbed
	// keysAge is the age of the keys, negative while it is not known.
	keysAge atomic.Int64
	log     safeBuffer
}

// safeBuffer is a buffer that may be used by several goroutines.
type safeBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *safeBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *safeBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

func newKeyedTestbed(t testing.TB, configure func(*Config), targets ...*rawtarget.Target) *keyedTestbed {
	t.Helper()
	k := &keyedTestbed{}
	k.testbed = newConfiguredTestbed(t, func(c *Config) {
		now := c.Now
		c.Log, c.LogSampleOneIn = slog.New(slog.NewTextHandler(&k.log, nil)), 1
		c.Keys = workspace.Freshness{Validity: keyValidity, AsOf: func() (time.Duration, bool) {
			age := time.Duration(k.keysAge.Load())
			return now() - age, age >= 0
		}}
		configure(c)
	}, targets...)
	k.setConfig(t, keyedConfig(1, workspaceW()))
	return k
}

func unchanged(*Config) {}

// exchangeLines sends a request with additional header lines and reads the answer.
func (c *callerConn) exchangeLines(path string, lines ...string) response {
	c.t.Helper()
	head := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\nX-Id: id\r\nX-Deadline: 2000\r\n%s\r\n", path, strings.Join(append(lines, ""), "\r\n"))
	if _, err := io.WriteString(c.conn, head); err != nil {
		c.t.Fatal(err)
	}
	answer, _, err := c.receive()
	if err != nil {
		c.t.Fatal(err)
	}
	return answer
}

// headerRecorder is a target that records the headers of its requests.
type headerRecorder struct {
	mu      sync.Mutex
	headers []http.Header
}

func (r *headerRecorder) start(t *testing.T) *rawtarget.Target {
	return startScripted(t, func(request *http.Request, _ int64) (string, bool) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.headers = append(r.headers, request.Header.Clone())
		return rawAnswer(200, request, "X-Load: 1,0,4\r\n", "ok"), true
	})
}

// take returns the headers of the requests since the last call.
func (r *headerRecorder) take() []http.Header {
	r.mu.Lock()
	defer r.mu.Unlock()
	headers := r.headers
	r.headers = nil
	return headers
}

// Guards against a key that reaches a target, and against a caller that chooses the workspace that its target sees, by any spelling
// or number of header lines.
func TestKeyAndForgedWorkspaceAreNotForwarded(t *testing.T) {
	var targets headerRecorder
	b := newKeyedTestbed(t, unchanged, targets.start(t))
	forged := [][]string{
		{}, {"Caller-Workspace: forged"}, {"caller-workspace: forged", "CALLER-WORKSPACE: forged"}, {"Caller_Workspace: forged"},
		{"cALLER_wORKSPACE: forged", "Caller.Workspace: forged"}, {"Caller-Workspace:forged", "Connection: Caller-Workspace"},
		{"Connection: Caller-Key"},
	}
	keys := []string{"Caller-Key: ", "caller-key:", "CALLER-KEY: \t"}
	for _, lines := range forged {
		for _, name := range keys {
			b.checkForwarded(t, &targets, "/safe/x", []string{"w"}, append(slices.Clone(lines), name+secretKey)...)
			b.checkForwarded(t, &targets, "/open/x", nil, append(slices.Clone(lines), name+secretKey)...)
		}
		b.checkForwarded(t, &targets, "/open/x", nil, append(slices.Clone(lines), "Caller_Key: "+secretKey, "Caller-Key: "+secretKey)...)
	}
}

// checkForwarded sends a request and checks what its target sees of the key and the workspace.
func (b *keyedTestbed) checkForwarded(t *testing.T, targets *headerRecorder, path string, want []string, lines ...string) {
	t.Helper()
	answer := b.dial(t).exchangeLines(path, lines...)
	seen := targets.take()
	if answer.StatusCode != 200 || len(seen) != 1 {
		t.Fatalf("%s %q: status %d, %d requests at the target, want 200 and 1", path, lines, answer.StatusCode, len(seen))
	}
	if got := seen[0].Values("Caller-Workspace"); !slices.Equal(got, want) {
		t.Errorf("%s %q: the target saw the workspaces %q, want %q", path, lines, got, want)
	}
	for name, values := range seen[0] {
		if content := fmt.Sprint(name, values); strings.Contains(content, secretKey) || strings.Contains(content, "forged") {
			t.Errorf("%s %q: the target saw %s", path, lines, content)
		}
	}
}

// Guards against requests that run although their caller proved no workspace, or two of them, and against a Retry-After that makes
// callers with an unknown key repeat their requests.
func TestRequestWithoutOneKnownKeyIsRefused(t *testing.T) {
	var targets headerRecorder
	b := newKeyedTestbed(t, unchanged, targets.start(t))
	cases := [][]string{
		{}, {"Caller-Key: other"}, {"Caller-Key:"}, {"Caller-Key: " + secretKey, "Caller-Key: " + secretKey}, {"Caller-Key: " + secretKey, "caller-key: other"},
		{"Caller-Key: " + secretKey, "Caller-Key:"}, {"Caller-Key: " + secretKey + ", " + secretKey}, {"Caller_Key: " + secretKey},
		{"Caller-Key: " + secretKey, "Caller_Key: " + secretKey}, {"Caller-Key: " + strings.ToUpper(secretKey)}, {"Caller-Workspace: w"},
	}
	for _, lines := range cases {
		answer := b.dial(t).exchangeLines("/safe/x", lines...)
		if answer.StatusCode != 401 || answer.Header.Get("Basillink-Reason") != "unknown_key" || answer.Header.Get("Retry-After") != "" {
			t.Errorf("%q: %d %v, want 401 unknown_key without Retry-After", lines, answer.StatusCode, answer.Header)
		}
	}
	if seen := targets.take(); len(seen) != 0 {
		t.Errorf("%d refused requests reached the target", len(seen))
	}
	b.checkIdle(t)
}

// Guards against keys in the log of the instance, also where a request cannot be read, and against log entries that do not tell the
// workspace.
func TestKeysAreNotLogged(t *testing.T) {
	var targets headerRecorder
	b := newKeyedTestbed(t, unchanged, targets.start(t))
	for _, lines := range [][]string{
		{"Caller-Key: " + secretKey}, {"Caller-Key: x" + secretKey}, {"Caller-Key " + secretKey}, {"Caller-Key\t" + secretKey + ": x"},
		{"Caller-Key: " + secretKey, "Trailer: Content-Length"}, {"Caller-Key: " + secretKey, "Content-Length: x"},
		{"Caller-Key:", secretKey},
	} {
		b.dial(t).exchangeLines("/safe/x", lines...)
	}
	log := b.log.String()
	if strings.Contains(log, secretKey) {
		t.Errorf("the log has the key:\n%s", log)
	}
	for _, want := range []string{"workspace=w", "reason=unknown_key", "reason=bad_framing"} {
		if !strings.Contains(log, want) {
			t.Errorf("the log lacks %s:\n%s", want, log)
		}
	}
}

// Guards against configurations without workspaces whose headers are changed or whose requests need keys.
func TestConfigurationWithoutWorkspacesForwardsHeaders(t *testing.T) {
	var targets headerRecorder
	b := newKeyedTestbed(t, unchanged, targets.start(t))
	b.setConfig(t, keyedConfig(2))
	b.keysAge.Store(int64(time.Hour))
	answer := b.dial(t).exchangeLines("/safe/x", "Caller-Key: k", "Caller-Workspace: v", "Caller_Key: u")
	seen := targets.take()
	if answer.StatusCode != 200 || len(seen) != 1 {
		t.Fatalf("status %d, %d requests at the target", answer.StatusCode, len(seen))
	}
	if h := seen[0]; h.Get("Caller-Key") != "k" || h.Get("Caller-Workspace") != "v" || h.Get("Caller_Key") != "u" {
		t.Errorf("the target saw %v", h)
	}
	if !b.gateway.ServesKeys() {
		t.Error("the gateway is not ready without workspaces")
	}
}

// Guards against keys that are served although nobody told for longer than the bound that they are current, against a final 401 for
// a key that may be new, and against refusing requests that need no key.
func TestOutdatedKeysAreRefusedAtOnce(t *testing.T) {
	var targets headerRecorder
	b := newKeyedTestbed(t, unchanged, targets.start(t))
	for _, age := range []time.Duration{outdatedAge, -1} {
		b.keysAge.Store(int64(age))
		for _, key := range []string{secretKey, "other"} {
			answer := b.dial(t).exchangeLines("/safe/x", "Caller-Key: "+key)
			if answer.StatusCode != 503 || answer.Header.Get("Basillink-Reason") != "keys_outdated" || answer.Header.Get("Retry-After") == "" {
				t.Errorf("age %s, key %q: %d %v, want 503 keys_outdated with Retry-After", age, key, answer.StatusCode, answer.Header)
			}
		}
		if len(targets.take()) != 0 {
			t.Errorf("age %s: a refused request reached the target", age)
		}
		if answer := b.dial(t).exchangeLines("/open/x"); answer.StatusCode != 200 || len(targets.take()) != 1 {
			t.Errorf("age %s: status %d of a public route, want 200", age, answer.StatusCode)
		}
		if b.gateway.ServesKeys() {
			t.Errorf("age %s: the gateway says that it serves keys", age)
		}
	}
	b.keysAge.Store(int64(keyValidity - time.Second))
	if answer := b.dial(t).exchangeLines("/safe/x", "Caller-Key: "+secretKey); answer.StatusCode != 200 || !b.gateway.ServesKeys() {
		t.Errorf("status %d with keys that are current, want 200", answer.StatusCode)
	}
}

// Guards against a request that waited, in a queue or in a suspended process, and is sent with a key that was taken away or got
// outdated meanwhile.
func TestWaitingRequestLosesItsKey(t *testing.T) {
	var targets headerRecorder
	target := targets.start(t)
	// As with the clock of the process, the time of the gateway and of its pools includes a suspension once DetectSuspension has found it.
	var suspended, found atomic.Int64
	var now func() time.Duration
	b := newKeyedTestbed(t, func(c *Config) {
		running := c.Now
		now = func() time.Duration { return running() + time.Duration(found.Load()) }
		c.Now = now
		c.DetectSuspension = func() (time.Duration, time.Duration) {
			found.Store(suspended.Load())
			return now(), 0
		}
	}, target)
	b.view.Store(newView(t, now, []*rawtarget.Target{target}))
	other := routes.Workspace{Name: "other", Keys: workspaceW().Keys}
	cases := map[string]struct {
		meanwhile func()
		status    int
	}{
		"nothing":               {func() {}, 200},
		"outdated":              {func() { b.keysAge.Store(int64(outdatedAge)) }, 503},
		"revoked":               {func() { b.setConfig(t, keyedConfig(2, routes.Workspace{Name: "w"})) }, 401},
		"moved":                 {func() { b.setConfig(t, keyedConfig(2, other)) }, 401},
		"new configuration":     {func() { b.setConfig(t, keyedConfig(2, workspaceW(), routes.Workspace{Name: "v"})) }, 200},
		"suspended":             {func() { suspended.Store(int64(2 * keyValidity)) }, 503},
		"no longer with keys":   {func() { b.setConfig(t, keyedConfig(2)) }, 200},
		"suspended for a while": {func() { suspended.Store(int64(keyValidity / 10)) }, 200},
	}
	for name, c := range cases {
		b.setConfig(t, keyedConfig(1, workspaceW()))
		b.keysAge.Store(0)
		suspended.Store(0)
		found.Store(0)
		b.gateway.beforeSend = c.meanwhile
		answer := b.dial(t).exchangeLines("/once/x", "Caller-Key: "+secretKey)
		sent := len(targets.take())
		if answer.StatusCode != c.status || sent != 0 != (c.status == 200) {
			t.Errorf("%s: status %d, sent %d times; want status %d", name, answer.StatusCode, sent, c.status)
		}
	}
	b.checkIdle(t)
}

// Guards against the promise that a request did not run, by a 401 or 503, after its first target may have run it.
func TestKeyLostAfterFirstTargetPromisesNothing(t *testing.T) {
	for name, lose := range map[string]func(*keyedTestbed){
		"outdated": func(b *keyedTestbed) { b.keysAge.Store(int64(outdatedAge)) },
		"revoked":  func(b *keyedTestbed) { b.setConfig(t, keyedConfig(2, routes.Workspace{Name: "w"})) },
	} {
		var b *keyedTestbed
		loses := func(*http.Request, int64) (string, bool) {
			lose(b)
			return "", false
		}
		b = newKeyedTestbed(t, unchanged, startScripted(t, loses), startScripted(t, loses))
		if answer := b.dial(t).exchangeLines("/safe/x", "Caller-Key: "+secretKey); answer.StatusCode != 502 {
			t.Errorf("%s: status %d, want 502", name, answer.StatusCode)
		}
	}
}

// Guards against waiting requests that are ordered by the priority of their route although their workspaces differ, and against ones
// that do not tell their workspace to the dispatcher.
func TestWorkspacePriorityComesBeforeRoute(t *testing.T) {
	b := newKeyedTestbed(t, unchanged, startEcho(t, ""))
	config := keyedConfig(2, routes.Workspace{Name: "low", Priority: 1, Keys: []routes.KeyHash{routes.HashKey([]byte("l"))}},
		routes.Workspace{Name: "high", Keys: []routes.KeyHash{routes.HashKey([]byte("h"))}})
	// The route /safe/ has a higher priority than /once/.
	config.Routes[1].Priority = 5
	b.setConfig(t, config)
	parse := func(path, key string) dispatch.Request {
		c := app.NewContext(0)
		head := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\nCaller-Key: %s\r\n\r\n", path, key)
		if err := req.ReadHeader(&c.Request.Header, mock.NewZeroCopyReader(head)); err != nil {
			t.Fatal(err)
		}
		parsed := &call{request: &c.Request, arrivedAt: b.gateway.Now()}
		if refusal := b.gateway.parse(c, parsed); refusal != nil {
			t.Fatal(refusal)
		}
		return parsed.dispatchRequest
	}
	high, low := parse("/once/x", "h"), parse("/safe/x", "l")
	if high.Priority >= low.Priority || high.Workspace != "high" || low.Workspace != "low" {
		t.Errorf("priority %d of %q, %d of %q; want the first lower", high.Priority, high.Workspace, low.Priority, low.Workspace)
	}
}
