package fleet

import (
	"context"
	"errors"
	"time"

	"github.com/basillink/basillink/internal/discovery"
	"github.com/basillink/basillink/internal/registry"
	"github.com/basillink/basillink/internal/routes"
)

// event is something that happened outside the control loop.
type event interface{}

// received is a datagram of a peer.
type received struct {
	datagram *datagram
	from     string
}

// configsRead is the end of a read of configurations.
type configsRead struct {
	began   time.Time
	configs []*routes.Config
	next    int64
	err     error
}

// targetsRead is the end of a read of targets. Listed is true when it holds the newest record of each target.
type targetsRead struct {
	began   time.Time
	changes []registry.Change
	listed  bool
	next    int64
	err     error
}

// membersRead is the end of a read of the announced members, and of the announcement of this instance, nil
// if it was not announced.
type membersRead struct {
	members   []discovery.Member
	announced *discovery.Member
	err       error
}

// stateFetched is the answer of a peer to a request for its state.
type stateFetched struct {
	state *State
	err   error
}

// marksFetched is the answer of a peer to a request for its crash marks.
type marksFetched struct {
	marks []discovery.CrashMark
	from  string
	err   error
}

// stateAsked is a request of a peer for the state.
type stateAsked struct {
	request StateRequest
	reply   chan State
}

// roundRead holds the readings of one round.
type roundRead struct{ samples []sample }

// misdirected tells that an address answered for another incarnation.
type misdirected struct{ targetID string }

// handle takes one event over.
func (n *Node) handle(ctx context.Context, e event, now time.Time) {
	switch e := e.(type) {
	case received:
		n.handleDatagram(ctx, e, now)
	case configsRead:
		n.handleConfigs(e, now)
	case targetsRead:
		n.handleTargets(e, now)
	case membersRead:
		n.handleMembers(e, now)
	case stateFetched:
		n.handleState(e, now)
	case keptMarksRead:
		n.handleKeptMarks(e, now)
	case markKept:
		n.handleMarkKept(e, now)
	case marksFetched:
		n.handleMarks(e, now)
	case stateAsked:
		e.reply <- n.state(e.request, now)
	case roundRead:
		n.handleRound(e, now)
	case markSpread:
		n.tellMark(e.mark, now)
	case misdirected:
		if n.registry.Drop(e.targetID) {
			n.Log.Info("Dropped a target whose address answers for another one.", "target", e.targetID)
			n.publish(now)
		}
	}
}

// readConfigs reads the configurations when it is this instance's turn.
func (n *Node) readConfigs(ctx context.Context, now time.Time, rank int) {
	// While the targets cannot be read, the store does not answer this instance. While nobody has read them in time, it may answer nobody,
	// and one topic is enough to find out.
	overdue := n.targets.known && n.configs.known && now.Sub(n.targets.asOf) >= targetsInterval+standbyDelay
	if n.targets.backoff > 0 || overdue || !n.configs.due(now, n.turn(now, rank)) {
		return
	}
	n.configs.begin(now)
	n.noteRead("configs", &n.configs, rank, now)
	n.traffic.calls[CallConfigs].Add(1)
	next, known := n.configs.next, n.configs.known
	go func() {
		r := configsRead{began: now}
		if known {
			r.configs, r.next, r.err = n.Store.ConfigsSince(ctx, next)
		}
		if !known || isTrimmed(r.err) {
			var newest *routes.Config
			newest, r.next, r.err = n.Store.NewestConfig(ctx)
			if newest != nil {
				r.configs = []*routes.Config{newest}
			}
		}
		n.deliver(ctx, r)
	}()
}

// turn describes this instance among those that may read the store.
func (n *Node) turn(now time.Time, rank int) turn {
	return turn{rank: rank, reader: n.reader, first: n.firstRead(now, rank), failing: n.failing, served: n.served}
}

// countFailing counts the instances that try to read the store in vain: in this zone, this one included, and in all zones
// as far as they are known.
func (n *Node) countFailing(now time.Time) {
	n.zoneFailing = 0
	if n.targets.failing(now) {
		n.zoneFailing = 1
	}
	n.zoneFailing += n.members.failing(now)
	n.failing = n.zoneFailing + n.members.remoteFailing(now)
	if !n.reader && now.Sub(n.members.fleetAt) < liveFor {
		n.failing = max(n.failing, n.members.toldFailing)
	}
}

// tellFailure tells at once that this instance tries to read the store in vain, so that few others join it.
func (n *Node) tellFailure(now time.Time) {
	n.countFailing(now)
	d := n.base(now)
	n.tellZone(d, now)
	n.tellZones(d, now)
}

// noteRead logs that an instance reads a topic that another one usually reads for it.
func (n *Node) noteRead(name string, topic *topicReads, rank int, now time.Time) {
	if n.reader && topic.known {
		return
	}
	n.Log.Info("Reading the store.", "topic", name, "known", topic.known, "behind", topic.behind, "alone", topic.alone,
		"age_ms", now.Sub(topic.asOf).Milliseconds(), "rank", rank, "reader", n.reader)
}

// deliver hands the end of an own read to the control loop. It waits, because the loop relies on it.
func (n *Node) deliver(ctx context.Context, e event) {
	select {
	case n.inbox <- e:
	case <-ctx.Done():
	}
}

func isTrimmed(err error) bool {
	var trimmed *discovery.TrimmedError
	return errors.As(err, &trimmed)
}

func (n *Node) handleConfigs(e configsRead, now time.Time) {
	if e.err != nil {
		n.configs.failed(now, n.Random.Float64(), n.failing)
		n.Log.Info("Could not read configurations.", "error", e.err, "age_ms", now.Sub(n.configs.asOf).Milliseconds())
		return
	}
	n.configs.succeeded(e.began, e.next)
	n.served = e.began
	for _, config := range e.configs {
		n.applyConfig(config, "store", now)
	}
	n.tellNews(now)
}

// applyConfig puts a configuration in force unless a newer one is.
func (n *Node) applyConfig(config *routes.Config, source string, now time.Time) {
	if config == nil || n.table != nil && config.Version <= n.table.Version {
		return
	}
	table, err := routes.Build(config)
	if err != nil {
		n.Log.Warn("Refused a configuration. The one in force stays.", "version", config.Version, "error", err)
		return
	}
	n.config, n.table = config, table
	n.configs.behind = false
	n.Log.Info("Configuration in force.", "version", config.Version, "routes", len(config.Routes), "source", source)
	n.publish(now)
}

// readTargets reads the records of targets when it is this instance's turn.
func (n *Node) readTargets(ctx context.Context, now time.Time, rank int) {
	if !n.targets.due(now, n.turn(now, rank)) {
		return
	}
	n.targets.begin(now)
	n.noteRead("targets", &n.targets, rank, now)
	n.traffic.calls[CallTargets].Add(1)
	next, known := n.targets.next, n.targets.known
	go func() {
		r := targetsRead{began: now}
		if known {
			r.changes, r.next, r.err = n.Store.TargetsSince(ctx, next)
		}
		if !known || isTrimmed(r.err) {
			r.listed = true
			r.changes, r.next, r.err = n.Store.NewestTargets(ctx)
		}
		n.deliver(ctx, r)
	}()
}

func (n *Node) handleTargets(e targetsRead, now time.Time) {
	if e.err != nil && e.began.Before(n.served) {
		n.targets.end()
		n.Log.Info("A read of targets failed after a later one succeeded.", "error", e.err)
		return
	}
	if e.err != nil {
		n.targets.failed(now, n.Random.Float64(), n.failing)
		n.tellFailure(now)
		n.Log.Info("Could not read targets.", "error", e.err, "age_ms", now.Sub(n.targets.asOf).Milliseconds())
		return
	}
	first := !n.targets.known
	n.targets.succeeded(e.began, e.next)
	n.served = e.began
	n.noteAvailability(now)
	changed := false
	if e.listed {
		changed = n.replaceTargets(e.changes, e.next, "store", now)
	} else {
		changed = n.applyChanges(n.judge(e.changes, now), now)
	}
	n.registry.ReadTo(n.targets.next)
	if changed || first {
		n.publish(now)
	}
	n.tellNews(now)
}

// maxLogged bounds the targets that one log line names.
const maxLogged = 16

func firstOf(ids []string) []string { return ids[:min(len(ids), maxLogged)] }

// replaceTargets takes over a complete listing of the targets. It reports whether anything changed.
func (n *Node) replaceTargets(changes []registry.Change, next int64, source string, now time.Time) bool {
	left, changed := n.registry.Replace(changes, next, now)
	n.recent, n.recentBase = nil, next
	n.Log.Info("Took a list of the targets over.", "source", source, "records", len(changes), "next", next,
		"left", len(left), "targets", firstOf(left))
	return changed
}

// judge decides for each removal whether it may be the effect of an outage.
func (n *Node) judge(changes []registry.Change, now time.Time) []registry.Change {
	for i := range changes {
		changes[i] = n.registry.Judge(changes[i], now)
	}
	return changes
}

// applyChanges takes over judged records of targets and keeps those that say something new for instances that missed them.
func (n *Node) applyChanges(changes []registry.Change, now time.Time) bool {
	any := false
	for _, c := range changes {
		if !n.registry.Take(c, now) && c.Entry != nil && !c.Lapsed {
			continue
		}
		any = true
		n.recent = append(n.recent, recentChange{c, now})
		if c.Lapsed {
			n.Log.Info("The entry of a target lapsed.", "target", c.ID, "offset", c.Offset, "hold_ms", c.Hold.Milliseconds())
			continue
		}
		if c.Entry == nil {
			n.Log.Info("A target is gone.", "target", c.ID, "offset", c.Offset)
			continue
		}
		n.Log.Info("A target changed.", "target", c.ID, "offset", c.Offset, "service", c.Entry.Service,
			"draining", c.Entry.Draining, "warmup_ms", c.Entry.WarmupLeft.Milliseconds(), "born", c.Entry.Born)
	}
	return any
}

// recentFor is how long changes are repeated. It covers several lost datagrams in a row.
const recentFor = 1500 * time.Millisecond

// maxNoteChanges bounds the changes in one datagram. An instance that misses more fetches the whole state.
const maxNoteChanges = 24

// targetsNote describes what was read of the targets, with the latest changes.
func (n *Node) targetsNote(now time.Time) *targetsNote {
	if !n.targets.known {
		return nil
	}
	for len(n.recent) > 0 && (now.Sub(n.recent[0].at) > recentFor || len(n.recent) > maxNoteChanges) {
		n.recentBase = n.recent[0].change.Offset + 1
		n.recent = n.recent[1:]
	}
	note := &targetsNote{Base: n.recentBase, Next: n.targets.next, AgeMS: now.Sub(n.targets.asOf).Milliseconds()}
	for _, r := range n.recent {
		c := r.change
		c.Lapsed, c.Hold = n.stillHeld(c, now)
		note.Changes = append(note.Changes, c)
	}
	return note
}

// stillHeld reports whether a target whose entry lapsed with a change is still in use, and how much longer.
func (n *Node) stillHeld(c registry.Change, now time.Time) (held bool, left time.Duration) {
	if !c.Lapsed {
		return false, 0
	}
	return n.registry.Held(c.ID, now)
}

// configNote describes the configuration in force. Version 0 stands for none.
func (n *Node) configNote(now time.Time) *configNote {
	if !n.configs.known {
		return nil
	}
	return &configNote{Version: n.version(), AgeMS: now.Sub(n.configs.asOf).Milliseconds()}
}

// takeTargets takes over what a peer read of the targets. It reports whether anything changed.
func (n *Node) takeTargets(note *targetsNote, now time.Time) bool {
	if !n.targets.known {
		n.targets.behind = true
		return false
	}
	if note.Next > n.targets.next && note.Base > n.targets.next {
		n.targets.behind = true
		return false
	}
	changed := false
	if note.Next > n.targets.next {
		changed = n.applyChanges(note.Changes, now)
		n.targets.next = note.Next
		n.registry.ReadTo(note.Next)
	}
	if note.Next >= n.targets.next {
		n.targets.fresh(now.Add(-time.Duration(note.AgeMS) * time.Millisecond))
		n.targets.behind = false
	}
	n.noteAvailability(now)
	return changed
}
