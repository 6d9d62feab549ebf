// Package evacuation holds which availability zones the operator has evacuated, so that no request is sent to their targets. Each
// instance has a Set. It learns from the operator's topic, and from the reports of other instances.
package evacuation

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/basillink/basillink/internal/discovery"
	"github.com/basillink/basillink/internal/topic"
)

const (
	// HoldTime is how long a zone stays evacuated after a restore of the store whose copy lacks the record. The operator
	// writes what was lost again within that time.
	HoldTime = 10 * time.Second
	// maxZones is the largest number of zones whose records are kept. It bounds the size of reports.
	maxZones = 64
	// maxZoneBytes is the longest accepted name of a zone.
	maxZoneBytes = 64
)

// Record is the newest known record of a zone. It is encoded in messages between instances.
type Record struct {
	_    struct{} `cbor:",toarray"`
	Zone string
	// Active is false if the evacuation has ended.
	Active bool
	// Era and Offset are the position of the record.
	Era, Offset int64
	// HeldMS is how many milliseconds longer the zone stays evacuated without a record in the present era. It is 0 for a record
	// of the present era.
	HeldMS int64
}

func (r Record) position() topic.Position { return topic.Position{Era: r.Era, Offset: r.Offset} }

// Report is what an instance knows of the evacuations. It is complete up to the position Era, Offset of the operator's topic.
type Report struct {
	_           struct{} `cbor:",toarray"`
	Era, Offset int64
	Records     []Record
}

// Next returns the position up to which the report is complete.
func (r *Report) Next() topic.Position { return topic.Position{Era: r.Era, Offset: r.Offset} }

// zoneState is the newest known record of a zone.
type zoneState struct {
	active   bool
	position topic.Position
	// heldUntil is the end of an evacuation whose record the store lacks since a restore. It is zero for others.
	heldUntil time.Time
}

// Set is what an instance knows of the evacuations. The zero value knows nothing. It is not safe for concurrent use.
type Set struct {
	known bool
	// next is the position up to which the records are complete, and eraSince the time at which its era became known here.
	next     topic.Position
	eraSince time.Time
	zones    map[string]zoneState
}

// Known reports whether the operator's records were read, by this instance or another one.
func (s *Set) Known() bool { return s.known }

// Next returns the position up to which the records are complete.
func (s *Set) Next() topic.Position { return s.next }

// Contains reports whether a zone is evacuated.
func (s *Set) Contains(zone string) bool { return s.zones[zone].active }

// Any reports whether any zone is evacuated.
func (s *Set) Any() bool {
	for _, z := range s.zones {
		if z.active {
			return true
		}
	}
	return false
}

// Zones returns the evacuated zones in alphabetical order.
func (s *Set) Zones() []string {
	var zones []string
	for _, zone := range slices.Sorted(maps.Keys(s.zones)) {
		if s.zones[zone].active {
			zones = append(zones, zone)
		}
	}
	return zones
}

// ApplyRead applies the records of a read that ended at a position. It reports whether the evacuated zones changed.
func (s *Set) ApplyRead(records discovery.OperatorRecords, next topic.Position, now time.Time) bool {
	if s.known && next.Before(s.next) {
		return false
	}
	before := s.Zones()
	s.advance(next, now)
	listed := map[string]bool{}
	for _, r := range records.Evacuations {
		listed[r.Zone] = true
		s.setRecord(r.Zone, zoneState{active: r.Active, position: r.Position})
	}
	if records.Complete {
		s.endMissing(listed, now)
	}
	return !slices.Equal(before, s.Zones())
}

// ApplyReport applies the report of another instance. It reports whether the evacuated zones changed.
func (s *Set) ApplyReport(r *Report, now time.Time) bool {
	before := s.Zones()
	if !s.known || r.Next().After(s.next) {
		s.advance(r.Next(), now)
		listed := map[string]bool{}
		for _, record := range r.Records {
			listed[record.Zone] = true
			s.setReported(record, now)
		}
		s.endMissing(listed, now)
	} else {
		for _, record := range r.Records {
			s.holdReported(record, now)
		}
	}
	return !slices.Equal(before, s.Zones())
}

// Report returns what this set knows, or nil if it knows nothing.
func (s *Set) Report(now time.Time) *Report {
	if !s.known {
		return nil
	}
	report := &Report{Era: s.next.Era, Offset: s.next.Offset}
	for _, zone := range slices.Sorted(maps.Keys(s.zones)) {
		z := s.zones[zone]
		record := Record{Zone: zone, Active: z.active, Era: z.position.Era, Offset: z.position.Offset}
		if z.active && !z.heldUntil.IsZero() {
			record.HeldMS = max(z.heldUntil.Sub(now).Milliseconds(), 1)
		}
		report.Records = append(report.Records, record)
	}
	return report
}

// Expire ends the evacuations that were held after a restore for long enough. It returns their zones.
func (s *Set) Expire(now time.Time) []string {
	var ended []string
	for zone, z := range s.zones {
		if z.active && !z.heldUntil.IsZero() && !now.Before(z.heldUntil) {
			s.zones[zone] = zoneState{position: z.position}
			ended = append(ended, zone)
		}
	}
	slices.Sort(ended)
	return ended
}

// advance moves the position up to which the records are complete.
func (s *Set) advance(next topic.Position, now time.Time) {
	if !s.known || next.Era > s.next.Era {
		s.eraSince = now
	}
	s.known, s.next = true, next
}

// setRecord applies a record unless a newer one of the zone is known.
func (s *Set) setRecord(zone string, z zoneState) {
	old, exists := s.zones[zone]
	if exists && z.position.Before(old.position) || zone == "" || len(zone) > maxZoneBytes {
		return
	}
	if !exists && len(s.zones) >= maxZones && !s.dropOldestEnded() {
		return
	}
	if s.zones == nil {
		s.zones = map[string]zoneState{}
	}
	s.zones[zone] = z
}

// dropOldestEnded drops the oldest record that ended an evacuation, to make room for another one.
func (s *Set) dropOldestEnded() bool {
	oldest := ""
	for zone, z := range s.zones {
		if !z.active && (oldest == "" || z.position.Before(s.zones[oldest].position)) {
			oldest = zone
		}
	}
	delete(s.zones, oldest)
	return oldest != ""
}

// setReported applies a record of a report that is newer than what this set knows.
func (s *Set) setReported(r Record, now time.Time) {
	z := zoneState{active: r.Active, position: r.position()}
	if r.Active && z.position.Era < s.next.Era {
		z.heldUntil = s.holdEnd(now, time.Duration(r.HeldMS)*time.Millisecond)
	}
	s.setRecord(r.Zone, z)
}

// holdReported holds an evacuation of an earlier era, of which this set knows nothing because it began with the present one.
func (s *Set) holdReported(r Record, now time.Time) {
	z, exists := s.zones[r.Zone]
	if !r.Active || r.Era >= s.next.Era || exists && (z.active || !z.position.Before(r.position())) {
		return
	}
	remaining := HoldTime
	if r.HeldMS > 0 {
		remaining = time.Duration(r.HeldMS) * time.Millisecond
	}
	if end := s.holdEnd(now, remaining); end.After(now) {
		s.setRecord(r.Zone, zoneState{active: true, position: r.position(), heldUntil: end})
	}
}

// holdEnd returns the end of a hold that lasts some time longer, and at most HoldTime in all.
func (s *Set) holdEnd(now time.Time, remaining time.Duration) time.Time {
	end := now.Add(remaining)
	if limit := s.eraSince.Add(HoldTime); end.After(limit) {
		return limit
	}
	return end
}

// endMissing ends the evacuations without a record in a complete listing. Those of an earlier era are held.
func (s *Set) endMissing(listed map[string]bool, now time.Time) {
	for zone, z := range s.zones {
		if listed[zone] || !z.active {
			continue
		}
		if z.position.Era >= s.next.Era {
			s.zones[zone] = zoneState{position: s.next.Previous()}
			continue
		}
		if z.heldUntil.IsZero() {
			z.heldUntil = s.holdEnd(now, HoldTime)
			s.zones[zone] = z
		}
	}
}

// String lists the evacuated zones for the log.
func (s *Set) String() string { return strings.Join(s.Zones(), ",") }
