package ticket

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/reason"
)

// explorer runs all interleavings of a model's actions up to a number of steps and counts them. It visits each state once
// per number of remaining steps; interleavings through a visited state are counted but not run again.
type explorer struct {
	model   model
	visited map[string]uint64
	failure string
	trace   []action
}

// explore returns the number of interleavings from a state with a number of steps left.
func (x *explorer) explore(s *system, left int) uint64 {
	if s.violation != "" && x.failure == "" {
		x.failure, x.trace = s.violation, s.trace
	}
	choices := len(s.enabled())
	if left == 0 || choices == 0 || x.failure != "" {
		return 1
	}
	key := string(rune(left)) + s.fingerprint()
	if count, ok := x.visited[key]; ok {
		return count
	}
	total := uint64(0)
	for choice := range choices {
		next := s.clone()
		next.enabled()[choice].run()
		total += x.explore(next, left-1)
	}
	x.visited[key] = total
	return total
}

func exploreModel(m model, steps int) (*explorer, uint64) {
	x := &explorer{model: m, visited: map[string]uint64{}}
	return x, x.explore(newSystem(m), steps)
}

// Guards against a second execution of an operation and against reported outcomes that contradict its executions, in all
// interleavings of the model's actions.
func TestAllInterleavings(t *testing.T) {
	const steps = 10
	for _, m := range []model{{}, {logOutages: true}, {smallTable: true}} {
		t.Run(fmt.Sprintf("%+v", m), func(t *testing.T) {
			t.Parallel()
			x, interleavings := exploreModel(m, steps)
			if x.failure != "" {
				t.Fatalf("%s: %v", x.failure, x.trace)
			}
			t.Logf("%d interleavings of %d steps, %d states visited", interleavings, steps, len(x.visited))
		})
	}
}

// Guards against an explorer that detects nothing: if any part of the mechanism is disabled, it must find a fault.
func TestExplorerFindsInjectedFaults(t *testing.T) {
	for _, m := range []model{{noForwarding: true}, {reuseClosedTicket: true}, {smallTable: true, evictOperations: true}, {notRunIfOwnerGone: true}} {
		x, _ := exploreModel(m, 12)
		if x.failure == "" {
			t.Errorf("%+v: no fault found", m)
		}
		t.Logf("%+v: %s: %v", m, x.failure, x.trace)
	}
}

// model selects the actions of the simulated system and which part of the mechanism is disabled.
type model struct {
	// logOutages adds outages of the platform's log, on which no decision depends.
	logOutages bool
	// smallTable limits the table to one entry, for which another operation competes.
	smallTable bool
	// noForwarding makes each instance decide alone instead of forwarding to the owner.
	noForwarding bool
	// reuseClosedTicket permits a ticket to run after an answer of not run.
	reuseClosedTicket bool
	// evictOperations makes a full table forget finished operations.
	evictOperations bool
	// notRunIfOwnerGone reports not run if the owner has terminated.
	notRunIfOwnerGone bool
}

// stage is the position of a copy of the request on its way.
type stage int

const (
	unsent stage = iota
	toOwner
	toOther
	forwarded
	waiting
	toTarget
	answered
	finished
)

const maxCopies = 3

// requestCopy is one copy of the request, sent by the caller.
type requestCopy struct {
	stage stage
	// abandoned is true if the caller no longer waits for the answer to this copy.
	abandoned bool
	// runsAtOther is true if the other instance runs the operation, which is possible only with noForwarding.
	runsAtOther bool
}

// system simulates a caller, the owner of its ticket, another instance and a target.
type system struct {
	model        model
	now          time.Duration
	owner, other *Manager
	text         string
	copies       [maxCopies]requestCopy
	// strayRequests counts requests that may still reach the target although the owner no longer waits for the answer.
	strayRequests                                                      int
	alive, paused, pausedOnce, stopping, expired, tableFilled, logDown bool
	executions                                                         int
	reportedOutcome                                                    reason.Outcome
	outcomeKnown                                                       bool
	handedOver                                                         bool
	violation                                                          string
	trace                                                              []action
}

type action struct {
	name string
	copy int
	do   func()
	s    *system
}

func (a action) run() {
	a.s.trace = append(a.s.trace, a)
	a.do()
}

func (a action) String() string { return fmt.Sprintf("%s %d;", a.name, a.copy) }

func newSystem(m model) *system {
	limits := DefaultLimits()
	if m.smallTable {
		limits.Entries = 1
	}
	s := &system{model: m, alive: true, owner: NewManager(Owner{"a", 1}, Key{1}, limits)}
	s.other = NewManager(Owner{"b", 1}, Key{2}, limits)
	if m.noForwarding {
		s.other = NewManager(Owner{"a", 1}, Key{1}, limits)
	}
	s.text = s.owner.Issue(0)
	return s
}

func (s *system) clone() *system {
	c := *s
	c.trace = slices.Clone(s.trace)
	c.owner, c.other = cloneManager(s.owner), cloneManager(s.other)
	return &c
}

func cloneManager(m *Manager) *Manager {
	from, to := m.table, newTable(m.table.limits)
	to.now, to.lastSerial, to.closedThrough, to.stopping = from.now, from.lastSerial, from.closedThrough, from.stopping
	to.finishedSerials, to.closedSerials = slices.Clone(from.finishedSerials), slices.Clone(from.closedSerials)
	to.storedSerials, to.storedBytes = slices.Clone(from.storedSerials), from.storedBytes
	for serial, e := range from.entries {
		copied := *e
		if e.state == running {
			copied.finished = make(chan struct{})
		}
		to.entries[serial] = &copied
	}
	closingStore := NewClosingStore(m.closingStore.lifetime)
	closingStore.parts, closingStore.memoryBytes = slices.Clone(m.closingStore.parts), m.closingStore.memoryBytes
	return &Manager{self: m.self, signer: m.signer, table: to, closingStore: closingStore}
}

// fingerprint returns a key for the part of the state on which later steps depend.
func (s *system) fingerprint() string {
	text := []byte(s.reportedOutcome)
	for _, flag := range []bool{s.alive, s.paused, s.pausedOnce, s.stopping, s.expired, s.tableFilled, s.outcomeKnown,
		s.handedOver, s.logDown, s.violation != ""} {
		text = strconv.AppendBool(text, flag)
	}
	text = append(text, byte(s.strayRequests), byte(s.executions))
	for _, m := range []*Manager{s.owner, s.other} {
		text = append(text, byte(m.table.closedThrough), byte(len(m.table.entries)))
		if e := m.table.entries[1]; e != nil {
			text = append(text, byte(e.state))
		}
	}
	for i := range s.copies {
		text = append(strconv.AppendBool(text, s.copies[i].abandoned), byte(s.copies[i].stage))
	}
	return string(text)
}

// enabled returns the actions that are possible in the current state.
func (s *system) enabled() []action {
	var list []action
	current := 0
	add := func(name string, do func()) { list = append(list, action{name, current, do, s}) }
	for ; current < maxCopies; current++ {
		c := &s.copies[current]
		if c.stage == unsent {
			if s.reportedOutcome == "" || s.reportedOutcome == reason.Unknown {
				add("send to owner", func() { c.stage = toOwner })
				add("send to other instance", func() { c.stage = toOther })
			}
			break
		}
		s.copyActions(c, add)
	}
	current = maxCopies
	if s.strayRequests > 0 {
		add("stray request runs", func() { s.strayRequests--; s.execute() })
	}
	s.ownerActions(add)
	return list
}

func (s *system) copyActions(c *requestCopy, add func(string, func())) {
	working := s.alive && !s.paused
	if c.stage != finished && !c.abandoned {
		add("abandon", func() { c.abandoned = true })
	}
	switch c.stage {
	case toOther:
		add("lose", func() { c.stage = finished })
		add("other instance decides", func() { s.decide(c, s.other, false) })
	case toOwner, forwarded:
		add("lose", func() { s.answerCaller(c, reason.ForwardLost.Outcome) })
		if working {
			add("owner decides", func() { s.decide(c, s.owner, c.stage == forwarded) })
		}
	case waiting:
		if working {
			add("owner decides", func() { s.decide(c, s.owner, true) })
		}
	case toTarget:
		add("target runs", func() { c.stage = answered; s.execute() })
		if working {
			add("target crashes", func() { s.execute(); s.finishOperation(c, reason.Unknown) })
			add("target sheds", func() { s.finishOperation(c, reason.NotRun) })
			add("timeout", func() { s.strayRequests++; s.finishOperation(c, reason.Unknown) })
		}
	case answered:
		if working {
			add("owner reads answer", func() { s.outcomeKnown = true; s.finishOperation(c, reason.Done) })
		}
	}
}

func (s *system) ownerActions(add func(string, func())) {
	if !s.expired {
		add("ticket expires", func() { s.expired = true; s.now += DefaultLimits().Lifetime })
	}
	if s.model.logOutages && !s.logDown {
		add("log fails", func() { s.logDown = true })
	}
	if !s.alive {
		return
	}
	add("kill", s.terminateOwner)
	if !s.pausedOnce {
		add("pause", func() { s.paused, s.pausedOnce = true, true })
	}
	if s.paused {
		add("resume", func() { s.paused = false })
		return
	}
	if !s.stopping {
		add("stop", func() { s.stopping = true; s.owner.Stop() })
	} else {
		add("close", func() { s.handOverRecord(); s.terminateOwner() })
	}
	if s.model.smallTable && !s.tableFilled {
		add("another operation", s.fillTable)
	}
}

// fillTable makes another operation take the last entry of the table.
func (s *system) fillTable() {
	s.tableFilled = true
	if e := s.owner.table.entries[1]; s.model.evictOperations && e != nil && e.state != running {
		delete(s.owner.table.entries, 1)
		s.owner.table.finishedSerials, s.owner.table.closedSerials = nil, nil
	} else if text := s.owner.Issue(s.now); text != "" {
		s.owner.Decide(s.now, text, Digest{9}, false)
	}
}

func (s *system) handOverRecord() {
	for _, part := range s.owner.Close(s.now, 64<<10) {
		if err := s.other.ClosingStore().Add(s.now, part); err != nil {
			s.violation = err.Error()
		}
	}
	s.handedOver = true
}

// terminateOwner terminates the owner's process. Its connections break, but requests on their way to the target may still
// run.
func (s *system) terminateOwner() {
	s.alive, s.paused = false, false
	for i := range s.copies {
		c := &s.copies[i]
		switch c.stage {
		case toTarget:
			s.strayRequests++
			s.answerCaller(c, reason.Unknown)
		case toOwner, forwarded, waiting, answered:
			s.answerCaller(c, reason.Unknown)
		}
	}
}

func (s *system) decide(c *requestCopy, m *Manager, isForwarded bool) {
	decision := m.Decide(s.now, s.text, Digest{}, isForwarded)
	outcome := reason.Unknown
	switch decision.Action {
	case Run:
		c.stage, c.runsAtOther = toTarget, m == s.other
		return
	case Wait:
		c.stage = waiting
		return
	case Forward:
		if s.alive {
			c.stage = forwarded
			return
		}
		if s.model.notRunIfOwnerGone {
			outcome = reason.NotRun
		}
	case Replay:
		outcome = reason.Done
	case Refuse:
		outcome = decision.Reason.Outcome
	}
	known := s.outcomeKnown && !s.expired && !s.model.evictOperations && (m == s.owner || s.handedOver)
	if known && outcome != reason.Done {
		s.violation = "a known outcome was not reported"
	}
	s.answerCaller(c, outcome)
}

func (s *system) finishOperation(c *requestCopy, outcome reason.Outcome) {
	table := s.owner.table
	if c.runsAtOther {
		table = s.other.table
	}
	operation := &Operation{table: table, serial: 1, entry: table.entries[1]}
	switch outcome {
	case reason.Done:
		operation.Done(s.now, AnswerHead{}, &Answer{Status: 200})
	case reason.NotRun:
		operation.NotRun(s.now)
		if s.model.reuseClosedTicket {
			delete(table.entries, 1)
			table.closedSerials = nil
		}
	default:
		operation.Unknown(s.now, reason.AnswerLost)
	}
	s.answerCaller(c, outcome)
}

// answerCaller finishes a copy and reports the outcome to the caller. The caller sends no further copy after done or not
// run, so every execution after a reported not run is a violation.
func (s *system) answerCaller(c *requestCopy, outcome reason.Outcome) {
	c.stage = finished
	if c.abandoned {
		return
	}
	if outcome == reason.Done && s.executions == 0 {
		s.violation = "done was reported without an execution"
	}
	if outcome == reason.NotRun && s.executions > 0 {
		s.violation = "not run was reported after an execution"
	}
	if s.reportedOutcome == "" || s.reportedOutcome == reason.Unknown {
		s.reportedOutcome = outcome
	}
}

func (s *system) execute() {
	s.executions++
	if s.executions > 1 {
		s.violation = "second execution"
	}
	if s.reportedOutcome == reason.NotRun {
		s.violation = "execution after not run was reported"
	}
}
