package fleet

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/dispatch"
	"github.com/basillink/basillink/internal/registry"
)

// scriptedProber answers by target id.
type scriptedProber map[string]func() (dispatch.Reading, error)

func (p scriptedProber) Open(_, _, id string) Probe { return scriptedProbe(p[id]) }

type scriptedProbe func() (dispatch.Reading, error)

func (p scriptedProbe) Read(context.Context) (dispatch.Reading, error) { return p() }
func (scriptedProbe) Close()                                           {}

// Guards against a target that answers but does not tell its load and is taken for silent, which would leave out all
// targets of such a service; and against a silent target that is not noticed.
func TestSamplerTellsSilenceFromMissingLoad(t *testing.T) {
	s := newSampler(scriptedProber{
		"good":   func() (dispatch.Reading, error) { return dispatch.Reading{Slots: 4, Pace: 1}, nil },
		"noload": func() (dispatch.Reading, error) { return dispatch.Reading{}, &NoLoadError{"noload"} },
		"silent": func() (dispatch.Reading, error) { return dispatch.Reading{}, errors.New("no answer") },
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
		s.round(func(string) bool { return true }, func(samples []sample) { done <- samples })
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
