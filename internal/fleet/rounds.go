package fleet

import (
	"math"
	"slices"
	"time"

	"github.com/basillink/basillink/internal/registry"
)

const (
	// partsLifetime is how long an assignment of parts holds without being repeated.
	partsLifetime = time.Second
	// directParts is the number of parts up to which each part is told to the zone directly. The reader of the zone joins
	// the readings of more parts in one datagram.
	directParts = 3
	// sharedZoneFactor and crowdedZoneFactor are how much rarer the readings of a zone are at least that several instances
	// read, or more than directParts: each reading is told to every instance of the zone, and there are as many of them.
	sharedZoneFactor  = 1.4
	crowdedZoneFactor = 2
	// readingsPerRequest is how often a target is read for each request that it is expected to receive. More change no
	// choice.
	readingsPerRequest = 20
	// slowestReading is the longest time between two readings. The pace of a machine changes several times a second.
	slowestReading = 100 * time.Millisecond
	// maxMissing bounds how much rarer readings are while members of the zone are missing.
	maxMissing = 2
	// tickSlack is how much earlier than due a round may begin, so that one step serves services that are due together.
	tickSlack = 2 * time.Millisecond
	// noteInterval is how often the zone is told how far the store was read.
	noteInterval = 100 * time.Millisecond
)

// serviceRound is the state of the readings of one service in this zone.
type serviceRound struct {
	// at is when the last round began.
	at time.Time
	// occupied is the mean number of requests that a target held lately, as of notedAt: the peak, which fades.
	occupied float64
	notedAt  time.Time
}

// occupancyMemory is how fast the peak of the occupancy fades. Few targets are often all empty between two requests.
const occupancyMemory = time.Second

// note takes over the mean number of requests that the targets of a round held.
func (r *serviceRound) note(occupied float64, now time.Time) {
	faded := r.occupied * math.Exp(-float64(now.Sub(r.notedAt))/float64(occupancyMemory))
	r.occupied, r.notedAt = max(occupied, faded), now
}

// probe starts a round of readings when one is due and this instance reads targets of its zone.
func (n *Node) probe(now time.Time) {
	if n.table == nil {
		return
	}
	part := n.ownShare(now, len(n.zoneTargets))
	n.noteShare(part)
	if part.parts == 0 {
		return
	}
	if !n.sampling {
		n.sampling = true
		n.syncSampler()
	}
	due := map[string]bool{}
	for service := range n.zoneServices {
		round := n.rounds[service]
		if round == nil {
			round = &serviceRound{}
			n.rounds[service] = round
		}
		if now.Sub(round.at) >= n.readingInterval(service)-tickSlack {
			round.at = now
			due[service] = true
		}
	}
	if len(due) > 0 {
		dueTarget := func(id, service string) bool { return due[service] && n.mayRead(id, service) }
		n.sampler.round(dueTarget, func(samples []sample) { n.post(roundRead{samples}) })
	}
}

// mayRead reports whether a target takes readings: they count as requests for one that asked for a pause.
func (n *Node) mayRead(id, service string) bool {
	pool := n.pools[service]
	return pool == nil || pool.Accepts(pool.Target(id))
}

// heedSamples notes what targets ask of this instance with their answers to readings.
func (n *Node) heedSamples(samples []sample) {
	for _, s := range samples {
		pool := n.pools[s.service]
		if pool == nil || !s.reading.Draining && s.reading.Backoff <= 0 {
			continue
		}
		t := pool.Target(s.id)
		if t == nil {
			continue
		}
		if s.reading.Draining && pool.MarkDraining(t) {
			n.Log.Info("A target says that it is leaving.", "target", s.id)
		}
		if s.reading.Backoff > 0 && pool.SetBackoff(t, s.reading.Backoff) {
			n.Log.Info("A target asks for a pause.", "target", s.id, "pause_ms", s.reading.Backoff.Milliseconds())
		}
	}
}

// syncSampler makes the sampler read the targets of this instance's part.
func (n *Node) syncSampler() {
	targets := slices.Clone(n.zoneTargets)
	targets = slices.DeleteFunc(targets, func(t registry.Target) bool { return !n.share.includes(hashID(t.ID)) })
	n.sampler.sync(targets, func(service string) string { return n.table.Services[service].HealthPath })
}

// ownShare returns the part of the targets that this instance reads. The reader of the zone assigns the parts.
func (n *Node) ownShare(now time.Time, targets int) share {
	if n.reader {
		n.parts, n.partsAt = n.members.assignParts(now, targets, n.parts), now
		return share{0, len(n.parts)}
	}
	if now.Sub(n.partsAt) > partsLifetime {
		return share{}
	}
	if i := slices.Index(n.parts, n.Self.ID); i >= 0 {
		return share{i, len(n.parts)}
	}
	return share{}
}

// noteShare notes a change of the part of the zone's targets that this instance reads.
func (n *Node) noteShare(part share) {
	if part == n.share {
		return
	}
	n.share, n.sampling = part, false
	n.Log.Info("Changed the share of targets to read.", "part", part.part, "parts", part.parts, "targets", len(n.zoneTargets))
	if part.parts == 0 {
		n.sampler.stop()
	}
}

// readingInterval is the time between two readings of a target of a service. Readings follow the requests: a target that
// holds few of them, for the time that they take, receives few, and its load changes as rarely.
func (n *Node) readingInterval(service string) time.Duration {
	least := n.leastInterval()
	most := max(least, slowestReading)
	interval := most
	if round, pool := n.rounds[service], n.pools[service]; round != nil && pool != nil && round.occupied > 0 {
		interval = time.Duration(float64(pool.MeanServiceTime()) / (readingsPerRequest * round.occupied))
	}
	interval = min(max(interval, least), most)
	return time.Duration(float64(interval) * min(n.members.missing(time.Now()), maxMissing))
}

// leastInterval is the shortest time between two readings of a target.
func (n *Node) leastInterval() time.Duration {
	switch {
	case n.share.parts > directParts:
		return crowdedZoneFactor * n.ProbeInterval
	case n.share.parts > 1:
		return time.Duration(sharedZoneFactor * float64(n.ProbeInterval))
	}
	return n.ProbeInterval
}

// nextStep is the time until the control loop has to run again: the next round of readings, or the idle tick.
func (n *Node) nextStep(now time.Time) time.Duration {
	next := idleTick
	if now.Sub(n.started) < startTime {
		next = startTick
	}
	if n.share.parts > 0 {
		for service := range n.zoneServices {
			if round := n.rounds[service]; round != nil {
				next = min(next, n.readingInterval(service)-now.Sub(round.at))
			}
		}
	}
	return max(next, tickSlack)
}

// handleRound passes the readings of a round on to the zone.
func (n *Node) handleRound(e roundRead, now time.Time) {
	if n.share.parts == 0 {
		return
	}
	n.traffic.readings.Add(int64(len(e.samples)))
	n.heedSamples(e.samples)
	d := n.base(now)
	n.noteOccupancy(e.samples, now)
	d.Loads = n.loadNotes(e.samples)
	n.observe(d.Loads)
	if !n.reader && n.share.parts <= directParts {
		n.tellZone(d, now)
		return
	}
	if !n.reader {
		if p := n.members.zoneReader(now); p != nil {
			n.sendAll(d, p.udp)
		}
		return
	}
	n.addRemote(d, now)
	if now.Sub(n.noted) >= noteInterval {
		n.noted = now
		d.Targets, d.Config, d.Readers = n.targetsNote(now), n.configNote(now), n.remoteReaderIDs()
		d.Marks = n.recentMarks(now)
		if len(n.parts) > 1 {
			d.Parts = n.parts
		}
	}
	n.addCouncil(d, now)
	n.tellZone(d, now)
}

// noteOccupancy notes how full the targets of a round are.
func (n *Node) noteOccupancy(samples []sample, now time.Time) {
	type sum struct{ occupied, slots, targets int }
	var all sum
	services := map[string]sum{}
	for _, s := range samples {
		if s.failures > 0 || s.unread {
			continue
		}
		occupied := s.reading.Running + s.reading.Waiting
		one := services[s.service]
		services[s.service] = sum{one.occupied + occupied, 0, one.targets + 1}
		all.occupied += occupied
		all.slots += s.reading.Slots
	}
	n.busy = float64(all.occupied) > busyShare*float64(all.slots)
	for service, one := range services {
		if round := n.rounds[service]; round != nil {
			round.note(float64(one.occupied)/float64(one.targets), now)
		}
	}
}

// loadNotes returns the readings that are passed on. The reader of the zone keeps its own for the other zones.
func (n *Node) loadNotes(samples []sample) []loadNote {
	at := n.Now()
	notes := make([]loadNote, 0, len(samples))
	for _, s := range samples {
		if s.unread || s.failures > 0 && s.failures < silentReadings {
			continue
		}
		note := loadNote{
			Target: hashID(s.id), Running: uint16(s.reading.Running), Waiting: uint16(s.reading.Waiting),
			PacePercent: uint16(min(s.reading.Slowdown*100, 1<<16-1)), AgeMS: ageMS(at - s.reading.ReceivedAt),
		}
		if s.failures > 0 {
			note.PacePercent, note.AgeMS = 0, 0
		}
		notes = append(notes, note)
		if n.reader {
			n.pending[note.Target] = loadSample{note, s.reading.ReceivedAt}
		}
	}
	return notes
}
