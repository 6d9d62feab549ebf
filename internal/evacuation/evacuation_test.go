package evacuation

import (
	"fmt"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/discovery"
	"github.com/basillink/basillink/internal/topic"
)

var start = time.Date(2026, 7, 1, 12, 0, 0, 0, time.UTC)

func at(era, offset int64) topic.Position { return topic.Position{Era: era, Offset: offset} }

func read(complete bool, evacuations ...discovery.Evacuation) discovery.OperatorRecords {
	return discovery.OperatorRecords{Evacuations: evacuations, Complete: complete}
}

func put(zone string, active bool, p topic.Position) discovery.Evacuation {
	return discovery.Evacuation{Zone: zone, Active: active, Position: p}
}

// Guards against an evacuation that is missed, that outlives its record, or that is decided by the later of two answers rather than by
// the later record.
func TestReads(t *testing.T) {
	var s Set
	if s.Known() || s.Report(start) != nil {
		t.Error("a set knows evacuations before the first read")
	}
	steps := []struct {
		what    string
		records discovery.OperatorRecords
		next    topic.Position
		want    string
	}{
		{"listing", read(true, put("a", true, at(1, 3))), at(1, 5), "a"},
		{"nothing new", read(false), at(1, 5), "a"},
		{"another zone", read(false, put("b", true, at(1, 5))), at(1, 6), "a,b"},
		{"end", read(false, put("a", false, at(1, 6))), at(1, 7), "b"},
		{"both in one read", read(false, put("a", true, at(1, 7)), put("a", false, at(1, 8))), at(1, 9), "b"},
		{"late answer", read(true, put("a", true, at(1, 3))), at(1, 5), "b"},
		{"late record", read(false, put("b", false, at(1, 2))), at(1, 9), "b"},
		{"listing without the zone", read(true), at(1, 12), ""},
		{"unknown and malformed zones", read(false, put("", true, at(1, 12)), put("nowhere", true, at(1, 13))), at(1, 14), "nowhere"},
	}
	for _, step := range steps {
		before := s.String()
		if changed := s.ApplyRead(step.records, step.next, start); changed != (before != step.want) {
			t.Errorf("%s: changed %v", step.what, changed)
		}
		if s.String() != step.want {
			t.Fatalf("%s: evacuated %q, want %q", step.what, s.String(), step.want)
		}
	}
}

// Guards against an evacuation that ends because the store was restored from a copy of before, and against one that then never ends.
func TestRestore(t *testing.T) {
	var s, peer, started Set
	s.ApplyRead(read(true, put("a", true, at(1, 8)), put("b", true, at(1, 9)), put("c", true, at(1, 2))), at(1, 10), start)
	restored := start.Add(time.Minute)
	s.ApplyRead(read(true, put("c", true, at(2, 2))), at(2, 5), restored)
	if s.String() != "a,b,c" {
		t.Fatalf("evacuated %q after the restore", s.String())
	}
	// Another instance still knows the earlier era only, and a third one starts with the restored store.
	peer.ApplyRead(read(true, put("a", true, at(1, 8)), put("b", true, at(1, 9)), put("c", true, at(1, 2))), at(1, 10), start)
	if peer.ApplyReport(s.Report(restored), restored); peer.String() != "a,b,c" || peer.Next() != at(2, 5) {
		t.Errorf("a peer that learns of the restore: evacuated %q up to %v", peer.String(), peer.Next())
	}
	started.ApplyRead(read(true, put("c", true, at(2, 2))), at(2, 5), restored.Add(time.Second))
	if started.ApplyReport(s.Report(restored.Add(time.Second)), restored.Add(time.Second)); started.String() != "a,b,c" {
		t.Errorf("an instance that starts after the restore: evacuated %q", started.String())
	}
	// The operator writes one record again, and ends the other evacuation.
	again := restored.Add(2 * time.Second)
	for _, known := range []*Set{&s, &peer, &started} {
		known.ApplyRead(read(false, put("a", true, at(2, 5)), put("b", false, at(2, 6))), at(2, 7), again)
		if known.String() != "a,c" {
			t.Errorf("evacuated %q after the records were written again", known.String())
		}
		if ended := known.Expire(restored.Add(2 * HoldTime)); len(ended) != 0 {
			t.Errorf("%v ended with time although the record was written again", ended)
		}
	}
}

// Guards against instances that keep an evacuation in force for each other after the time in which the operator writes it again, and
// against one that was ended in the present era and comes back by the report of another instance.
func TestHeldEvacuationsEnd(t *testing.T) {
	var s, peer Set
	s.ApplyRead(read(true, put("a", true, at(1, 8))), at(1, 10), start)
	old := s.Report(start)
	s.ApplyRead(read(true), at(2, 5), start)
	peer.ApplyRead(read(true), at(2, 5), start.Add(HoldTime/2))
	peer.ApplyReport(s.Report(start.Add(HoldTime/2)), start.Add(HoldTime/2))
	for i := range 10 {
		now := start.Add(HoldTime / 2).Add(time.Duration(i) * HoldTime / 20)
		s.ApplyReport(peer.Report(now), now)
		peer.ApplyReport(s.Report(now), now)
		if s.String() != "a" || peer.String() != "a" {
			t.Fatalf("after %s: evacuated %q and %q", now.Sub(start), s.String(), peer.String())
		}
	}
	end := start.Add(HoldTime + 10*time.Millisecond)
	if s.Expire(end); s.String() != "" {
		t.Error("the evacuation does not end")
	}
	peer.Expire(end)
	s.ApplyReport(peer.Report(end), end)
	if s.ApplyReport(old, end); s.String() != "" || peer.String() != "" {
		t.Errorf("evacuated %q and %q after the end", s.String(), peer.String())
	}
	var ended Set
	ended.ApplyRead(read(true), at(2, 5), start)
	ended.ApplyRead(read(false, put("a", false, at(2, 5))), at(2, 6), start)
	if ended.ApplyReport(old, start); ended.String() != "" {
		t.Error("an evacuation that ended in the present era is held")
	}
}

// Guards against reports of instances that have read less, which would begin or end evacuations again.
func TestOlderReports(t *testing.T) {
	var s, peer Set
	peer.ApplyRead(read(true, put("a", true, at(1, 3))), at(1, 4), start)
	s.ApplyReport(peer.Report(start), start)
	if s.String() != "a" || s.Next() != at(1, 4) {
		t.Fatalf("evacuated %q up to %v by the first report", s.String(), s.Next())
	}
	s.ApplyRead(read(false, put("a", false, at(1, 4)), put("b", true, at(1, 5))), at(1, 6), start)
	if s.ApplyReport(peer.Report(start), start) || s.String() != "b" {
		t.Errorf("evacuated %q after an older report", s.String())
	}
	if !peer.ApplyReport(s.Report(start), start) || peer.String() != "b" {
		t.Errorf("evacuated %q after a newer report", peer.String())
	}
}

// Guards against reports that exceed a datagram, and against a zone that cannot be evacuated because many others were.
func TestManyZones(t *testing.T) {
	var s Set
	for i := range int64(3 * maxZones) {
		zone := fmt.Sprintf("z%d", i)
		s.ApplyRead(read(false, put(zone, true, at(1, 2*i)), put(zone, false, at(1, 2*i+1))), at(1, 2*i+2), start)
	}
	s.ApplyRead(read(false, put("a", true, at(1, 1000))), at(1, 1001), start)
	if report := s.Report(start); len(report.Records) > maxZones || s.String() != "a" {
		t.Errorf("%d records in a report, evacuated %q", len(report.Records), s.String())
	}
}
