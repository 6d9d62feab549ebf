package fleet

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/dispatch"
	"github.com/basillink/basillink/internal/panicguard"
	"github.com/basillink/basillink/internal/registry"
	"github.com/basillink/basillink/internal/routes"
	"github.com/basillink/basillink/internal/topic"
)

// scriptedProber answers load probes by target id.
type scriptedProber map[string]func() (dispatch.LoadReport, error)

func (p scriptedProber) Open(_, _, id string) Probe { return scriptedProbe(p[id]) }

type scriptedProbe func() (dispatch.LoadReport, error)

func (p scriptedProbe) Read(context.Context) (dispatch.LoadReport, error) { return p() }
func (scriptedProbe) Close()                                              {}

// Guards against a target that answers without a load report and is taken for unreachable, which would exclude all
// targets of such a service, and against an unreachable target that is not noticed.
func TestSamplerDistinguishesSilenceFromMissingLoad(t *testing.T) {
	s := newSampler(scriptedProber{
		"good":   func() (dispatch.LoadReport, error) { return dispatch.LoadReport{Slots: 4, Slowdown: 1}, nil },
		"noload": func() (dispatch.LoadReport, error) { return dispatch.LoadReport{}, &NoLoadReportError{"noload"} },
		"silent": func() (dispatch.LoadReport, error) { return dispatch.LoadReport{}, errors.New("no answer") },
	}, func() time.Duration { return time.Second }, &panicguard.Guard{}, slog.New(slog.DiscardHandler))
	defer s.stop()
	var targets []registry.Target
	for _, id := range []string{"good", "noload", "silent"} {
		targets = append(targets, registry.Target{Entry: registry.Entry{ID: id, Address: id}})
	}
	s.sync(targets, func(string) string { return "/" })
	last := map[string]probeResult{}
	for range 3 {
		done := make(chan []probeResult, 1)
		s.startRound(func(string, string) bool { return true }, func(results []probeResult) { done <- results })
		for _, result := range <-done {
			last[result.id] = result
		}
		time.Sleep(2 * roundWait)
	}
	if result := last["good"]; result.failures != 0 || result.noLoadReport || result.report.Slots != 4 {
		t.Errorf("target with a load report: %+v", result)
	}
	if result := last["noload"]; result.failures != 0 || !result.noLoadReport {
		t.Errorf("target without a load report: %+v", result)
	}
	if result := last["silent"]; result.failures < unreachableFailures {
		t.Errorf("silent target: %+v", result)
	}
}

// Guards against probes of a target that requested a backoff, or announced that it is draining, in its answer to a
// probe: probes count as requests.
func TestProbesHonorBackpressure(t *testing.T) {
	n := newQuietNode(t, newMember("a1", "a"))
	n.applyConfig(&routes.Config{Version: 1, Services: []routes.Service{{Name: "s"}}}, "store", testStart)
	var listing []registry.Change
	for i, id := range []string{"paused", "leaving", "usual"} {
		listing = append(listing, registry.Change{ID: id, Offset: int64(i + 1), Entry: &registry.Entry{
			ID: id, Address: "127.0.0.1:9", Zone: "a", Service: "s", Slots: 4,
		}})
	}
	n.handleTargetsRead(targetsRead{startedAt: testStart, changes: listing, complete: true, next: topic.Position{Offset: 4}}, testStart)
	n.applyBackpressure([]probeResult{
		{id: "paused", service: "s", noLoadReport: true, report: dispatch.LoadReport{Backoff: time.Hour}},
		{id: "leaving", service: "s", report: dispatch.LoadReport{Draining: true}}, {id: "usual", service: "s"},
		{id: "unknown", service: "s", report: dispatch.LoadReport{Draining: true}},
	})
	for id, want := range map[string]bool{"paused": false, "leaving": false, "usual": true} {
		if got := n.mayProbe(id, "s"); got != want {
			t.Errorf("%s: may be probed %v, want %v", id, got, want)
		}
	}
}
