package intent

import (
	"fmt"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/logservice"
	"github.com/basillink/basillink/operator"
)

// largeState returns a state with 130 services and 4,600 targets, the size that is expected within two years.
func largeState(b *testing.B) *State {
	b.Helper()
	s := NewState()
	for i := range 130 {
		if d := s.Apply(largeStateChange(b, i, 0, i+1)); d.Verdict != Accepted {
			b.Fatal(d.Err)
		}
	}
	return s
}

func largeStateChange(b *testing.B, i int, base, offset int) logservice.Record {
	b.Helper()
	name := fmt.Sprintf("service-%03d", i)
	s := operator.Service{Name: name, Region: "tz-north", Zones: []string{"tz-north-a"}, Classes: []operator.Class{{Name: "lookup"}}}
	for j := range 4600 / 130 {
		s.Targets = append(s.Targets, operator.Target{Address: fmt.Sprintf("10.%d.0.%d:8080", i, j+1), Zone: "tz-north-a"})
	}
	s.Provision()
	spec, specErr := EncodeService(s)
	change := &Change{ID: fmt.Sprint(name, base), Author: "anna", Service: name, Base: logservice.Offset(base), Spec: spec}
	payload, err := (&Record{Kind: KindChange, Change: change}).Encode()
	if specErr != nil || err != nil {
		b.Fatal(specErr, err)
	}
	return logservice.Record{Offset: logservice.Offset(offset), Payload: payload}
}

// BenchmarkLargeState measures the cost of applying and distributing one change in a large state, and the size of a
// checkpoint.
func BenchmarkLargeState(b *testing.B) {
	s := largeState(b)
	record := largeStateChange(b, 0, 1, 131)
	b.Run("apply a change", func(b *testing.B) {
		for b.Loop() {
			if d := s.Clone().Apply(record); d.Verdict != Accepted {
				b.Fatal(d.Err)
			}
		}
	})
	b.Run("encode a delta", func(b *testing.B) {
		for b.Loop() {
			if _, err := s.Delta(129).Encode(); err != nil {
				b.Fatal(err)
			}
		}
	})
	newer := s.Clone()
	newer.Apply(record)
	delta := newer.Delta(130)
	b.Run("merge a delta", func(b *testing.B) {
		for b.Loop() {
			if advanced, err := s.Clone().Merge(delta); !advanced {
				b.Fatal(err)
			}
		}
	})
	b.Run("encode a checkpoint", func(b *testing.B) {
		size := 0
		for b.Loop() {
			data, err := (&Record{Kind: KindCheckpoint, Checkpoint: NewCheckpoint(s, time.Time{})}).Encode()
			if err != nil {
				b.Fatal(err)
			}
			size = len(data)
		}
		b.ReportMetric(float64(size), "bytes")
	})
}
