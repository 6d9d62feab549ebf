package fleet

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/basillink/basillink/internal/dispatch"
	"github.com/basillink/basillink/internal/registry"
)

// Prober reads the load of targets. Implementations are safe for concurrent use.
type Prober interface {
	// Open returns a connection for readings of one target.
	Open(address, healthPath, id string) Probe
}

// Probe reads the load of one target. It is used by one goroutine.
type Probe interface {
	Read(ctx context.Context) (dispatch.Reading, error)
	Close()
}

// NoLoadError reports a target that answers but does not tell its load.
type NoLoadError struct{ Target string }

func (e *NoLoadError) Error() string { return "target " + e.Target + " does not tell its load" }

const (
	// roundWait is how long a round waits for readings before it passes on those that came. Later ones join the next.
	roundWait = 6 * time.Millisecond
	// probeTimeout bounds one reading.
	probeTimeout = 80 * time.Millisecond
	// silentReadings is how many readings in a row must fail before a target counts as unreachable.
	silentReadings = 2
)

// sample is the end of one reading.
type sample struct {
	id       string
	reading  dispatch.Reading
	failures int
	// unread is true when the target answered without telling its load.
	unread bool
}

// sampler reads the load of a set of targets in rounds. It is used by the control loop.
type sampler struct {
	prober  Prober
	now     func() time.Duration
	workers map[string]*worker
	results chan sample

	mu       sync.Mutex
	rounding bool
}

// worker reads one target when it is triggered.
type worker struct {
	address string
	trigger chan struct{}
	cancel  context.CancelFunc
}

func newSampler(prober Prober, now func() time.Duration) *sampler {
	return &sampler{prober: prober, now: now, workers: map[string]*worker{}, results: make(chan sample, 1024)}
}

// sync starts and ends workers so that there is one for each target.
func (s *sampler) sync(targets []registry.Target, healthPath func(service string) string) {
	wanted := map[string]bool{}
	for _, t := range targets {
		wanted[t.ID] = true
		if w := s.workers[t.ID]; w != nil && w.address == t.Address {
			continue
		}
		s.end(t.ID)
		ctx, cancel := context.WithCancel(context.Background())
		w := &worker{address: t.Address, trigger: make(chan struct{}, 1), cancel: cancel}
		s.workers[t.ID] = w
		go s.work(ctx, w, t.ID, s.prober.Open(t.Address, healthPath(t.Service), t.ID))
	}
	for id := range s.workers {
		if !wanted[id] {
			s.end(id)
		}
	}
}

func (s *sampler) end(id string) {
	if w := s.workers[id]; w != nil {
		w.cancel()
		delete(s.workers, id)
	}
}

func (s *sampler) stop() {
	for id := range s.workers {
		s.end(id)
	}
}

// work reads one target until it is ended.
func (s *sampler) work(ctx context.Context, w *worker, id string, probe Probe) {
	defer probe.Close()
	failures := 0
	for {
		select {
		case <-w.trigger:
		case <-ctx.Done():
			return
		}
		reading, err := s.read(ctx, probe)
		var noLoad *NoLoadError
		unread := errors.As(err, &noLoad)
		failures++
		if err == nil || unread {
			failures = 0
			reading.At = s.now()
		}
		select {
		case s.results <- sample{id: id, reading: reading, failures: failures, unread: unread}:
		case <-ctx.Done():
			return
		}
	}
}

func (s *sampler) read(ctx context.Context, probe Probe) (dispatch.Reading, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return probe.Read(ctx)
}

// round triggers a reading of each target and passes those that come in time on.
func (s *sampler) round(done func([]sample)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rounding {
		return
	}
	s.rounding = true
	triggered := 0
	for _, w := range s.workers {
		select {
		case w.trigger <- struct{}{}:
			triggered++
		default:
		}
	}
	go s.collect(triggered, done)
}

func (s *sampler) collect(triggered int, done func([]sample)) {
	timer := time.NewTimer(roundWait)
	defer timer.Stop()
	samples := make([]sample, 0, triggered)
	for waiting := true; waiting && len(samples) < triggered; {
		select {
		case r := <-s.results:
			samples = append(samples, r)
		case <-timer.C:
			waiting = false
		}
	}
	s.mu.Lock()
	s.rounding = false
	s.mu.Unlock()
	if len(samples) > 0 {
		done(samples)
	}
}

// probe starts a round of readings when one is due and this instance reads targets of its zone.
func (n *Node) probe(now time.Time) {
	if n.table == nil || now.Sub(n.roundAt) < n.probeInterval()*3/4 {
		return
	}
	n.roundAt = now
	targets := slices.DeleteFunc(n.registry.Usable(), func(t registry.Target) bool {
		_, served := n.table.Services[t.Service]
		return t.Zone != n.Self.Zone || !served
	})
	part := n.ownShare(now, len(targets))
	n.noteShare(part, len(targets))
	if part.parts == 0 {
		return
	}
	targets = slices.DeleteFunc(targets, func(t registry.Target) bool { return !part.includes(hashID(t.ID)) })
	n.sampler.sync(targets, func(service string) string { return n.table.Services[service].HealthPath })
	n.sampler.round(func(samples []sample) { n.post(roundRead{samples}) })
}

// partsLifetime is how long an assignment holds without being repeated.
const partsLifetime = time.Second

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
func (n *Node) noteShare(part share, targets int) {
	if part == n.share {
		return
	}
	n.share = part
	n.Log.Info("Changed the share of targets to read.", "part", part.part, "parts", part.parts, "targets", targets)
	if part.parts == 0 {
		n.sampler.stop()
	}
	n.adjustTick()
}

// crowdedZoneFactor is how much rarer the readings of a zone are that more than directParts instances read: each reading
// is told to every instance of the zone, and there are as many of them.
const crowdedZoneFactor = 2

// directParts is the number of parts up to which each part is told to the zone directly. The reader of the zone joins the
// readings of more parts in one datagram.
const directParts = 3

// calmFactor is how much rarer the readings are while the targets of the zone are far from full: they change as fast, but
// a wrong choice costs less.
const calmFactor = 1.4

// probeInterval is the time between two readings of one target.
func (n *Node) probeInterval() time.Duration {
	interval := n.wholeProbeInterval()
	return time.Duration(float64(interval) * min(n.members.missing(time.Now()), maxMissing))
}

// maxMissing bounds how much rarer readings are while members of the zone are missing.
const maxMissing = 2

// wholeProbeInterval is the time between two readings of one target while all members of the zone are heard.
func (n *Node) wholeProbeInterval() time.Duration {
	switch {
	case n.share.parts > directParts:
		return crowdedZoneFactor * n.ProbeInterval
	case !n.filling || n.share.parts > 1:
		return time.Duration(calmFactor * float64(n.ProbeInterval))
	}
	return n.ProbeInterval
}

// adjustTick lets the control loop of instances that read targets run more often.
func (n *Node) adjustTick() {
	interval := idleTick
	if n.reader || n.share.parts > 0 {
		interval = min(n.probeInterval(), idleTick)
	}
	if interval != n.tick {
		n.tick = interval
		n.ticker.Reset(interval)
	}
}

// handleRound passes the readings of a round on to the zone.
func (n *Node) handleRound(e roundRead, now time.Time) {
	if n.share.parts == 0 {
		return
	}
	d := n.base(now)
	at := n.Now()
	occupied, slots := 0, 0
	for _, s := range e.samples {
		occupied += s.reading.Running + s.reading.Waiting
		slots += s.reading.Slots
		if s.unread || s.failures > 0 && s.failures < silentReadings {
			continue
		}
		note := loadNote{
			Target: hashID(s.id), Running: uint16(s.reading.Running), Waiting: uint16(s.reading.Waiting),
			PacePercent: uint16(min(s.reading.Pace*100, 1<<16-1)), AgeMS: ageMS(at - s.reading.At),
		}
		if s.failures > 0 {
			note.PacePercent, note.AgeMS = 0, 0
		}
		d.Loads = append(d.Loads, note)
		if n.reader {
			n.pending[note.Target] = loadSample{note, s.reading.At}
		}
	}
	n.busy = float64(occupied) > busyShare*float64(slots)
	n.filling = float64(occupied) > fillingShare*float64(slots)
	n.adjustTick()
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
		if len(n.parts) > 1 {
			d.Parts = n.parts
		}
	}
	n.tellZone(d, now)
}

// noteInterval is how often the zone is told how far the store was read.
const noteInterval = 100 * time.Millisecond
