package fleet

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/dispatch"
	"github.com/basillink/basillink/internal/registry"
	"github.com/basillink/basillink/internal/routes"
)

// scriptedProber answers by target id.
type scriptedProber map[string]func() (dispatch.LoadReport, error)

func (p scriptedProber) Open(_, _, id string) Probe { return scriptedProbe(p[id]) }

type scriptedProbe func() (dispatch.LoadReport, error)

func (p scriptedProbe) Read(context.Context) (dispatch.LoadReport, error) { return p() }
func (scriptedProbe) Close()                                              {}

// Guards against a target that answers but does not tell its load and is taken for silent, which would leave out all
// targets of such a service; and against a silent target that is not noticed.
func TestSamplerTellsSilenceFromMissingLoad(t *testing.T) {
	s := newSampler(scriptedProber{
		"good":   func() (dispatch.LoadReport, error) { return dispatch.LoadReport{Slots: 4, Slowdown: 1}, nil },
		"noload": func() (dispatch.LoadReport, error) { return dispatch.LoadReport{}, &NoLoadReportError{"noload"} },
		"silent": func() (dispatch.LoadReport, error) { return dispatch.LoadReport{}, errors.New("no answer") },
	}, func() time.Duration { return time.Second })
	defer s.stop()
	var targets []registry.Target
	for _, id := range []string{"good", "noload", "silent"} {
		targets = append(targets, registry.Target{Entry: registry.Entry{ID: id, Address: id}})
	}
	s.sync(targets, func(string) string { return "/" })
	last := map[string]sample{}
	for range 3 {
		done := make(chan []sample, 1)
		s.round(func(string, string) bool { return true }, func(samples []sample) { done <- samples })
		for _, one := range <-done {
			last[one.id] = one
		}
		time.Sleep(2 * roundWait)
	}
	if one := last["good"]; one.failures != 0 || one.unread || one.reading.Slots != 4 {
		t.Errorf("good: %+v", one)
	}
	if one := last["noload"]; one.failures != 0 || !one.unread {
		t.Errorf("without load: %+v", one)
	}
	if one := last["silent"]; one.failures < silentReadings {
		t.Errorf("silent: %+v", one)
	}
}

// Guards against readings that reach a target which asked for a pause, or said that it leaves, in the answer to a reading: they count
// like requests.
func TestReadingsHeedWhatTargetsAsk(t *testing.T) {
	n := quietNode(t, member("a1", "a"))
	n.applyConfig(&routes.Config{Version: 1, Services: []routes.Service{{Name: "s"}}}, "store", begin)
	var listing []registry.Change
	for i, id := range []string{"paused", "leaving", "usual"} {
		listing = append(listing, registry.Change{ID: id, Offset: int64(i + 1), Entry: &registry.Entry{
			ID: id, Address: "127.0.0.1:9", Zone: "a", Service: "s", Slots: 4,
		}})
	}
	n.handleTargets(targetsRead{began: begin, changes: listing, listed: true, next: 4}, begin)
	n.heedSamples([]sample{
		{id: "paused", service: "s", unread: true, reading: dispatch.LoadReport{Backoff: time.Hour}},
		{id: "leaving", service: "s", reading: dispatch.LoadReport{Draining: true}}, {id: "usual", service: "s"},
		{id: "unknown", service: "s", reading: dispatch.LoadReport{Draining: true}},
	})
	for id, want := range map[string]bool{"paused": false, "leaving": false, "usual": true} {
		if got := n.mayRead(id, "s"); got != want {
			t.Errorf("%s: may be read %v", id, got)
		}
	}
}
