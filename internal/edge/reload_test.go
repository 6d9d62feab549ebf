package edge

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/settings"
)

const settingsFile = `
[instance]
id = "i1"
zone = "a"
[listen]
caller = "127.0.0.1:8080"
readiness = "127.0.0.1:8081"
peer = "127.0.0.1:8082"
[store]
address = "127.0.0.1:7000"
[log]
sample_one_in = 5
`

// Guards against a SIGHUP that terminates the process, a changed file that is not detected, and an invalid file that replaces the
// current settings.
func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(settingsFile)
	initial, err := settings.LoadEdge(path)
	if err != nil {
		t.Fatal(err)
	}
	var sample atomic.Int64
	r := Reloader{File: path, Log: slog.New(slog.DiscardHandler), Apply: func(s *settings.Edge) {
		sample.Store(int64(s.Log.SampleOneIn))
	}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { r.Run(ctx, initial); close(done) }()
	defer func() { cancel(); <-done }()
	await := func(want int64) {
		t.Helper()
		for range 500 {
			if sample.Load() == want {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Fatalf("log.sample_one_in is %d, want %d", sample.Load(), want)
	}
	time.Sleep(50 * time.Millisecond)
	write(strings.Replace(settingsFile, "= 5", "= 6", 1))
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	await(6)
	write(strings.Replace(settingsFile, "= 5", "= -1", 1))
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	if sample.Load() != 6 {
		t.Error("an invalid file was applied")
	}
	write(strings.Replace(settingsFile, "= 5", "= 7", 1))
	if err := os.Chtimes(path, time.Now(), time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	await(7)
}

// Guards against a deployed settings template that renders to invalid settings.
func TestDeployedTemplate(t *testing.T) {
	b, err := os.ReadFile("../../deploy/settings.toml.template")
	if err != nil {
		t.Fatal(err)
	}
	pairs := []string{
		"{{node|json}}", `"edge-a-1"`, "{{zone|json}}", `"tz-north-a"`, "{{listen.front|json}}", `"10.1.0.10:8161"`,
		"{{listen.readiness|json}}", `"10.1.0.10:8167"`, "{{ip}}:{{internalPorts.0}}", "10.1.0.10:7720",
		"{{provider.address|json}}", `"10.200.1.7:8169"`, "{{bounds.graceS}}", "6", "{{bounds.retryBudgetRatio}}", "0.2",
		"{{bounds.retryBudgetExtra}}", "64", "{{bounds.budgetWindowS}}", "10", "{{bounds.probesPerS}}", "60",
		"{{limits.cpuShare}}", "0.32", "{{seeds|json}}", `["10.1.0.10:8166"]`,
		"{{#bootstrap}}", "", "{{/bootstrap}}", "", "{{heartbeatS}}", "2.5", "{{limits.memoryMb}}", "284",
	}
	optional := map[string]string{
		"revokeS": "4", "quotaWindowS": "6", "quotaOverage": "0.2", "quotaSlack": "30", "warmupOverage": "1.25", "warmupSlack": "9",
	}
	for name, value := range optional {
		pairs = append(pairs, "{{#bounds."+name+"}}", "", "{{/bounds."+name+"}}", "", "{{bounds."+name+"}}", value)
	}
	text := strings.NewReplacer(pairs...).Replace(string(b))
	s, err := settings.DecodeEdge("template", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if s.Bounds.RetryRatio != 0.2 || s.Peer.Capacity != 0.32 || len(s.Peer.Seeds) != 1 || !s.Peer.Bootstrap || s.Bounds.HeartbeatS != 2.5 || s.Memory.LimitMB != 284 {
		t.Errorf("%+v", s)
	}
	want := [6]float64{4, 6, 0.2, 30, 1.25, 9}
	bounds := s.Bounds
	if got := [6]float64{bounds.RevokeS, bounds.QuotaWindowS, bounds.QuotaOverage, bounds.QuotaSlack, bounds.WarmupOverage, bounds.WarmupSlack}; got != want {
		t.Errorf("optional bounds %v, want %v", got, want)
	}
}

// Guards against more health checks per second than the platform allows.
func TestProbeIntervalKeepsLimit(t *testing.T) {
	for _, c := range []struct {
		perSecond float64
		want      time.Duration
	}{{60, 25 * time.Millisecond}, {10, 117647 * time.Microsecond}, {0, 25 * time.Millisecond}} {
		s := &settings.Edge{Probe: settings.EdgeProbe{IntervalMS: 25}, Bounds: settings.EdgeBounds{ProbesPerS: c.perSecond}}
		if got := probeInterval(s).Truncate(time.Microsecond); got != c.want {
			t.Errorf("%v probes per second: interval %s, want %s", c.perSecond, got, c.want)
		}
	}
}
