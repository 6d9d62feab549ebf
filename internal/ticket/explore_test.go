package ticket

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/reason"
)

// explorer counts the histories of a model up to a number of steps. It visits each state once for each number
// of steps left; histories through a visited state are counted, not run again.
type explorer struct {
	model   model
	visited map[string]uint64
	failure string
	trace   []action
}

// explore returns the number of histories that continue from a state.
func (x *explorer) explore(w *world, left int) uint64 {
	if w.violation != "" && x.failure == "" {
		x.failure, x.trace = w.violation, w.trace
	}
	choices := len(w.enabled())
	if left == 0 || choices == 0 || x.failure != "" {
		return 1
	}
	key := string(rune(left)) + w.fingerprint()
	if count, ok := x.visited[key]; ok {
		return count
	}
	total := uint64(0)
	for choice := range choices {
		next := w.clone()
		next.enabled()[choice].run()
		total += x.explore(next, left-1)
	}
	x.visited[key] = total
	return total
}

func exploreModel(m model, steps int) (*explorer, uint64) {
	x := &explorer{model: m, visited: map[string]uint64{}}
	return x, x.explore(newWorld(m), steps)
}

// Guards against a second run and against claims about executions that an execution contradicts, in all orders
// of the actions of the model.
func TestAllOrders(t *testing.T) {
	const steps = 10
	for _, m := range []model{{}, {logOutages: true}, {small: true}} {
		t.Run(fmt.Sprintf("%+v", m), func(t *testing.T) {
			t.Parallel()
			x, histories := exploreModel(m, steps)
			if x.failure != "" {
				t.Fatalf("%s: %v", x.failure, x.trace)
			}
			t.Logf("%d histories of %d steps, %d states visited", histories, steps, len(x.visited))
		})
	}
}

// Guards against a check that finds nothing: without each part of the mechanism it must report a fault.
func TestAllOrdersFindsFaults(t *testing.T) {
	for _, m := range []model{{oneInstance: true}, {reuse: true}, {small: true, evict: true}, {claimGone: true}} {
		x, _ := exploreModel(m, 12)
		if x.failure == "" {
			t.Errorf("%+v: no fault found", m)
		}
		t.Logf("%+v: %s: %v", m, x.failure, x.trace)
	}
}

// model selects what a world contains and which part of the mechanism is switched off.
type model struct {
	// logOutages adds outages of the platform's log, which no decision reads.
	logOutages bool
	// small leaves one entry in the table, for which another operation competes.
	small bool
	// oneInstance lets each instance decide alone, without forwarding.
	oneInstance bool
	// reuse lets a ticket be used again after an answer that says not run.
	reuse bool
	// evict forgets operations when the table is full.
	evict bool
	// claimGone says not run when the owner is gone.
	claimGone bool
}

type stage int

const (
	unsent stage = iota
	toOwner
	toOther
	forwarded
	waiting
	toTarget
	answered
	ended
)

const maxCopies = 3

// requestCopy is one sending of the request by the caller.
type requestCopy struct {
	stage stage
	// abandoned means that nobody receives the answer to this copy.
	abandoned bool
	// atOther means that the other instance runs the operation, which only a model without tickets permits.
	atOther bool
}

// world is a caller, the owner of its ticket, another instance and a target.
type world struct {
	model        model
	now          time.Duration
	owner, other *Manager
	text         string
	copies       [maxCopies]requestCopy
	// stray counts requests that may still reach the target although the owner no longer waits for them.
	stray                                                          int
	alive, paused, pausedOnce, stopping, expired, crowded, logDown bool
	executions                                                     int
	claim                                                          reason.Outcome
	learned                                                        bool
	handedOver                                                     bool
	violation                                                      string
	trace                                                          []action
}

type action struct {
	name string
	copy int
	do   func()
	w    *world
}

func (a action) run() {
	a.w.trace = append(a.w.trace, a)
	a.do()
}

func (a action) String() string { return fmt.Sprintf("%s %d;", a.name, a.copy) }

func newWorld(m model) *world {
	limits := DefaultLimits()
	if m.small {
		limits.Entries = 1
	}
	w := &world{model: m, alive: true, owner: NewManager(Owner{"a", 1}, Key{1}, limits)}
	w.other = NewManager(Owner{"b", 1}, Key{2}, limits)
	if m.oneInstance {
		w.other = NewManager(Owner{"a", 1}, Key{1}, limits)
	}
	w.text = w.owner.Issue(0)
	return w
}

func (w *world) clone() *world {
	c := *w
	c.trace = slices.Clone(w.trace)
	c.owner, c.other = cloneDesk(w.owner), cloneDesk(w.other)
	return &c
}

func cloneDesk(d *Manager) *Manager {
	from, to := d.table, newTable(d.table.limits)
	to.now, to.serial, to.closedThrough, to.stopping = from.now, from.serial, from.closedThrough, from.stopping
	to.settledOrder, to.closedOrder = slices.Clone(from.settledOrder), slices.Clone(from.closedOrder)
	to.kept, to.keptBytes = slices.Clone(from.kept), from.keptBytes
	for serial, e := range from.entries {
		copied := *e
		if e.state == running {
			copied.settled = make(chan struct{})
		}
		to.entries[serial] = &copied
	}
	closings := NewClosingStore(d.closings.lifetime)
	closings.parts, closings.bytes = slices.Clone(d.closings.parts), d.closings.bytes
	return &Manager{self: d.self, signer: d.signer, table: to, closings: closings}
}

// fingerprint describes everything that later steps depend on.
func (w *world) fingerprint() string {
	text := []byte(w.claim)
	for _, flag := range []bool{w.alive, w.paused, w.pausedOnce, w.stopping, w.expired, w.crowded, w.learned,
		w.handedOver, w.logDown, w.violation != ""} {
		text = strconv.AppendBool(text, flag)
	}
	text = append(text, byte(w.stray), byte(w.executions))
	for _, d := range []*Manager{w.owner, w.other} {
		text = append(text, byte(d.table.closedThrough), byte(len(d.table.entries)))
		if e := d.table.entries[1]; e != nil {
			text = append(text, byte(e.state))
		}
	}
	for i := range w.copies {
		text = append(strconv.AppendBool(text, w.copies[i].abandoned), byte(w.copies[i].stage))
	}
	return string(text)
}

func (w *world) enabled() []action {
	var list []action
	current := 0
	add := func(name string, do func()) { list = append(list, action{name, current, do, w}) }
	for ; current < maxCopies; current++ {
		c := &w.copies[current]
		if c.stage == unsent {
			if w.claim == "" || w.claim == reason.Unknown {
				add("send to owner", func() { c.stage = toOwner })
				add("send to other", func() { c.stage = toOther })
			}
			break
		}
		w.copyActions(c, add)
	}
	current = maxCopies
	if w.stray > 0 {
		add("stray request runs", func() { w.stray--; w.execute() })
	}
	w.ownerActions(add)
	return list
}

func (w *world) copyActions(c *requestCopy, add func(string, func())) {
	working := w.alive && !w.paused
	if c.stage != ended && !c.abandoned {
		add("abandon", func() { c.abandoned = true })
	}
	switch c.stage {
	case toOther:
		add("lose", func() { c.stage = ended })
		add("other decides", func() { w.decide(c, w.other, false) })
	case toOwner, forwarded:
		add("lose", func() { w.answer(c, reason.ForwardLost.Outcome) })
		if working {
			add("owner decides", func() { w.decide(c, w.owner, c.stage == forwarded) })
		}
	case waiting:
		if working {
			add("owner decides", func() { w.decide(c, w.owner, true) })
		}
	case toTarget:
		add("target runs", func() { c.stage = answered; w.execute() })
		if working {
			add("target crashes", func() { w.execute(); w.settle(c, reason.Unknown) })
			add("target sheds", func() { w.settle(c, reason.NotRun) })
			add("timeout", func() { w.stray++; w.settle(c, reason.Unknown) })
		}
	case answered:
		if working {
			add("owner reads answer", func() { w.learned = true; w.settle(c, reason.Done) })
		}
	}
}

func (w *world) ownerActions(add func(string, func())) {
	if !w.expired {
		add("ticket expires", func() { w.expired = true; w.now += DefaultLimits().Lifetime })
	}
	if w.model.logOutages && !w.logDown {
		add("log fails", func() { w.logDown = true })
	}
	if !w.alive {
		return
	}
	add("kill", w.end)
	if !w.pausedOnce {
		add("pause", func() { w.paused, w.pausedOnce = true, true })
	}
	if w.paused {
		add("resume", func() { w.paused = false })
		return
	}
	if !w.stopping {
		add("stop", func() { w.stopping = true; w.owner.Stop() })
	} else {
		add("close", func() { w.handOver(); w.end() })
	}
	if w.model.small && !w.crowded {
		add("another operation", w.crowd)
	}
}

// crowd lets another operation take the last entry of the table.
func (w *world) crowd() {
	w.crowded = true
	if e := w.owner.table.entries[1]; w.model.evict && e != nil && e.state != running {
		delete(w.owner.table.entries, 1)
		w.owner.table.settledOrder, w.owner.table.closedOrder = nil, nil
	} else if text := w.owner.Issue(w.now); text != "" {
		w.owner.Decide(w.now, text, Digest{9}, false)
	}
}

func (w *world) handOver() {
	for _, part := range w.owner.Close(w.now, 64<<10) {
		if err := w.other.ClosingRecords().Add(w.now, part); err != nil {
			w.violation = err.Error()
		}
	}
	w.handedOver = true
}

// end ends the owner's process. Requests on their way to the target may still run; connections break.
func (w *world) end() {
	w.alive, w.paused = false, false
	for i := range w.copies {
		c := &w.copies[i]
		switch c.stage {
		case toTarget:
			w.stray++
			w.answer(c, reason.Unknown)
		case toOwner, forwarded, waiting, answered:
			w.answer(c, reason.Unknown)
		}
	}
}

func (w *world) decide(c *requestCopy, d *Manager, isForwarded bool) {
	decision := d.Decide(w.now, w.text, Digest{}, isForwarded)
	claim := reason.Unknown
	switch decision.Action {
	case Run:
		c.stage, c.atOther = toTarget, d == w.other
		return
	case Wait:
		c.stage = waiting
		return
	case Forward:
		if w.alive {
			c.stage = forwarded
			return
		}
		if w.model.claimGone {
			claim = reason.NotRun
		}
	case Replay:
		claim = reason.Done
	case Refuse:
		claim = decision.Reason.Outcome
	}
	known := w.learned && !w.expired && !w.model.evict && (d == w.owner || w.handedOver)
	if known && claim != reason.Done {
		w.violation = "a known outcome is not told"
	}
	w.answer(c, claim)
}

func (w *world) settle(c *requestCopy, outcome reason.Outcome) {
	table := w.owner.table
	if c.atOther {
		table = w.other.table
	}
	operation := &Operation{table: table, serial: 1, entry: table.entries[1]}
	switch outcome {
	case reason.Done:
		operation.Done(w.now, AnswerHead{}, &Answer{Status: 200})
	case reason.NotRun:
		operation.NotRun(w.now)
		if w.model.reuse {
			delete(table.entries, 1)
			table.closedOrder = nil
		}
	default:
		operation.Unknown(w.now, reason.AnswerLost)
	}
	w.answer(c, outcome)
}

// answer ends a copy and tells its caller the outcome. The caller sends nothing after an answer that says done
// or not run, so that every later execution contradicts a claim of not run.
func (w *world) answer(c *requestCopy, outcome reason.Outcome) {
	c.stage = ended
	if c.abandoned {
		return
	}
	if outcome == reason.Done && w.executions == 0 {
		w.violation = "told done without an execution"
	}
	if outcome == reason.NotRun && w.executions > 0 {
		w.violation = "told not run after an execution"
	}
	if w.claim == "" || w.claim == reason.Unknown {
		w.claim = outcome
	}
}

func (w *world) execute() {
	w.executions++
	if w.executions > 1 {
		w.violation = "second execution"
	}
	if w.claim == reason.NotRun {
		w.violation = "execution after told not run"
	}
}
