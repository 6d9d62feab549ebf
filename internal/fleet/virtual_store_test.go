package fleet

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/basillink/basillink/internal/credit"
	"github.com/basillink/basillink/internal/discovery"
	"github.com/basillink/basillink/internal/registry"
	"github.com/basillink/basillink/internal/routes"
	"github.com/basillink/basillink/internal/topic"
)

// storeBehavior is how the store treats calls.
type storeBehavior int

const (
	storeServes storeBehavior = iota
	storeRefuses
	storeSilent
)

const (
	storeDelay = 4 * time.Millisecond
	slowDelay  = 220 * time.Millisecond
	// storeTimeout is the timeout of the store's client.
	storeTimeout = 900 * time.Millisecond
)

var errRefused = errors.New("the store refuses the call")

// virtualStore is an in-memory store with a log of the records of targets, in virtual time.
type virtualStore struct {
	mu      sync.Mutex
	records []registry.Change
	// firstOffset is the offset of the first record that was not trimmed.
	firstOffset int64
	members     []discovery.Member
	marks       map[string]discovery.CrashMark
	behavior    storeBehavior
	slow        bool
	// slowness is how long a slow store takes, if that is more than slowDelay.
	slowness time.Duration
	// markLateness is how long after it was sent a write of a mark is executed. Late writes get no answer. 0 for none.
	markLateness time.Duration
	// behaviorByInstance is the behavior toward single instances, by id. An instance gets the later one, in the order of
	// the constants, of this and behavior.
	behaviorByInstance map[string]storeBehavior
	// operator is the log of the operator's records. The first one, at offset 0, is the configuration of version 1, which it leaves out.
	operator []operatorRecord
	// era rises with each restore from a copy. hidesEra makes the answers tell none, as before the platform had eras.
	era      int64
	hidesEra bool
	// seen is the newest era that the client of each instance knows.
	seen map[string]int64
	// writes are the writes that a restore may lose, in order.
	writes []virtualWrite
	// calls is the number of calls received.
	calls int
	// workspaces are those of each configuration.
	workspaces []routes.Workspace
	owners     ownerTopic
	// ownerLateness is how long after it was sent an append of an owner record is executed. Late appends get no answer. 0 for none.
	ownerLateness time.Duration
	// ownerLosses is the number of appends of owner records that are executed and get no answer.
	ownerLosses int
	// answerDelay returns how much later than executed a read is answered. It may be nil.
	answerDelay func() time.Duration
}

// virtualWrite is a write at a time, with how to undo it.
type virtualWrite struct {
	at   time.Time
	undo func()
}

// wrote records a write. The lock must be held.
func (s *virtualStore) wrote(undo func()) {
	s.writes = append(s.writes, virtualWrite{time.Now(), undo})
}

func (s *virtualStore) append(id string, e *registry.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, registry.Change{ID: id, Offset: int64(len(s.records)), Entry: e})
	s.wrote(func() { s.records = s.records[:len(s.records)-1] })
}

func (s *virtualStore) putConfig(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendOperator(operatorRecord{config: s.newConfig(version)})
}

func (s *virtualStore) newConfig(version uint64) *routes.Config {
	return &routes.Config{Version: version, Services: []routes.Service{{Name: "s"}}, Workspaces: s.workspaces}
}

// operatorRecord is a configuration, or a record that evacuates a zone or ends its evacuation.
type operatorRecord struct {
	config *routes.Config
	zone   string
	active bool
}

func (s *virtualStore) putEvacuation(zone string, active bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendOperator(operatorRecord{zone: zone, active: active})
}

// appendOperator appends a record of the operator. The lock must be held.
func (s *virtualStore) appendOperator(r operatorRecord) {
	s.operator = append(s.operator, r)
	s.wrote(func() { s.operator = s.operator[:len(s.operator)-1] })
}

// operatorSince returns the records of the operator from an offset on and the offset behind them. The lock must be held.
func (s *virtualStore) operatorSince(from, era int64) (records discovery.OperatorRecords, next int64) {
	if from == 0 {
		records.Configs = append(records.Configs, s.newConfig(1))
	}
	for i, r := range s.operator {
		offset := int64(i) + 1
		switch {
		case offset < from:
		case r.config != nil:
			records.Configs = append(records.Configs, r.config)
		default:
			position := topic.Position{Era: era, Offset: offset}
			records.Evacuations = append(records.Evacuations, discovery.Evacuation{Zone: r.zone, Active: r.active, Position: position})
		}
	}
	return records, int64(len(s.operator)) + 1
}

// restore replaces the content by a copy of some time ago, in a new era.
func (s *virtualStore) restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.writes) > 0 && time.Since(s.writes[len(s.writes)-1].at) < age {
		s.writes[len(s.writes)-1].undo()
		s.writes = s.writes[:len(s.writes)-1]
	}
	s.records, s.operator = slices.Clip(s.records), slices.Clip(s.operator)
	s.era++
}

// answerEra returns the era that answers tell. The lock must be held.
func (s *virtualStore) answerEra() int64 {
	if s.hidesEra {
		return 0
	}
	return s.era
}

// update changes the store under its lock.
func (s *virtualStore) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// newestEntries returns the newest record of each target that has an entry. The lock must be held.
func (s *virtualStore) newestEntries() []registry.Change {
	byID := map[string]registry.Change{}
	for _, c := range s.records {
		byID[c.ID] = c
	}
	var listed []registry.Change
	for _, c := range byID {
		if c.Entry != nil {
			listed = append(listed, c)
		}
	}
	return listed
}

// virtualStoreClient is the store as one instance sees it.
type virtualStoreClient struct {
	*virtualStore
	id string
}

// begin waits for the duration of a call and locks the store, unless the store refuses the call.
func (c virtualStoreClient) begin() error {
	c.mu.Lock()
	c.calls++
	behavior, slow, slowness := max(c.behavior, c.behaviorByInstance[c.id]), c.slow, c.slowness
	c.mu.Unlock()
	switch {
	case behavior == storeSilent:
		time.Sleep(storeTimeout)
		return errRefused
	case slow:
		time.Sleep(max(slowDelay, slowness))
	default:
		time.Sleep(storeDelay)
	}
	if behavior == storeRefuses {
		return errRefused
	}
	c.mu.Lock()
	return nil
}

// readPosition executes a read and returns the position behind what it read. The lock is held while read runs, which returns
// the offset behind it and whether the store has the records.
func (c virtualStoreClient) readPosition(name string, from topic.Position, read func(era int64) (next int64, available bool)) (topic.Position, error) {
	if err := c.begin(); err != nil {
		return topic.Position{}, err
	}
	era := c.answerEra()
	next, available := read(era)
	delay := time.Duration(0)
	if c.answerDelay != nil {
		delay = c.answerDelay()
	}
	c.mu.Unlock()
	time.Sleep(delay)
	if newest := c.Era(); era < newest || era < from.Era {
		return topic.Position{}, &discovery.OutdatedAnswerError{Era: era, Newest: newest}
	}
	c.LearnEra(era)
	if !available {
		return topic.Position{}, &discovery.TrimmedError{Topic: name, From: from, Era: era}
	}
	return topic.Position{Era: era, Offset: next}, nil
}

func (c virtualStoreClient) Era() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.seen[c.id]
}

func (c virtualStoreClient) LearnEra(era int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seen == nil {
		c.seen = map[string]int64{}
	}
	c.seen[c.id] = max(c.seen[c.id], era)
}

func (c virtualStoreClient) NewestConfig(context.Context) (records discovery.OperatorRecords, next topic.Position, err error) {
	next, err = c.readPosition("configs", topic.Position{}, func(era int64) (int64, bool) {
		all, end := c.operatorSince(0, era)
		newest := map[string]discovery.Evacuation{}
		for _, e := range all.Evacuations {
			newest[e.Zone] = e
		}
		maps.DeleteFunc(newest, func(_ string, e discovery.Evacuation) bool { return !e.Active })
		records = discovery.OperatorRecords{
			Configs: all.Configs[len(all.Configs)-1:], Evacuations: slices.Collect(maps.Values(newest)), Complete: true,
		}
		return end, true
	})
	return records, next, err
}

func (c virtualStoreClient) ConfigsSince(_ context.Context, from topic.Position) (records discovery.OperatorRecords, next topic.Position, err error) {
	next, err = c.readPosition("configs", from, func(era int64) (int64, bool) {
		var end int64
		records, end = c.operatorSince(from.Offset, era)
		return end, era == from.Era && end >= from.Offset
	})
	return records, next, err
}

func (c virtualStoreClient) NewestTargets(context.Context) (changes []registry.Change, next topic.Position, err error) {
	next, err = c.readPosition("targets", topic.Position{}, func(era int64) (int64, bool) {
		changes = inEra(c.newestEntries(), era)
		return int64(len(c.records)), true
	})
	return changes, next, err
}

func (c virtualStoreClient) TargetsSince(_ context.Context, from topic.Position) (changes []registry.Change, next topic.Position, err error) {
	next, err = c.readPosition("targets", from, func(era int64) (int64, bool) {
		if from.Offset < c.firstOffset || from.Offset > int64(len(c.records)) || era != from.Era {
			return 0, false
		}
		changes = inEra(slices.Clone(c.records[from.Offset:]), era)
		return int64(len(c.records)), true
	})
	return changes, next, err
}

// inEra sets the era of changes.
func inEra(changes []registry.Change, era int64) []registry.Change {
	for i := range changes {
		changes[i].Era = era
	}
	return changes
}

func (c virtualStoreClient) Members(context.Context) ([]discovery.Member, error) {
	if err := c.begin(); err != nil {
		return nil, err
	}
	defer c.mu.Unlock()
	return slices.Clone(c.members), nil
}

func (c virtualStoreClient) Announce(_ context.Context, m discovery.Member) error {
	if err := c.begin(); err != nil {
		return err
	}
	defer c.mu.Unlock()
	before := slices.Clone(c.members)
	c.members = slices.DeleteFunc(c.members, func(other discovery.Member) bool { return other.ID == m.ID })
	c.members = append(c.members, m)
	c.wrote(func() { c.members = before })
	return nil
}

func (c virtualStoreClient) CrashMarks(context.Context) ([]discovery.CrashMark, error) {
	if err := c.begin(); err != nil {
		return nil, err
	}
	defer c.mu.Unlock()
	return slices.Collect(maps.Values(c.marks)), nil
}

func (c virtualStoreClient) PutCrashMark(_ context.Context, mark discovery.CrashMark) error {
	if err := c.begin(); err != nil {
		return err
	}
	lateness := c.markLateness
	if lateness == 0 {
		c.putMark(mark)
	}
	c.mu.Unlock()
	if lateness == 0 {
		return nil
	}
	time.AfterFunc(lateness, func() { c.update(func() { c.putMark(mark) }) })
	time.Sleep(storeTimeout)
	return errRefused
}

// putMark stores or deletes a mark. The lock must be held.
func (s *virtualStore) putMark(mark discovery.CrashMark) {
	if s.marks == nil {
		s.marks = map[string]discovery.CrashMark{}
	}
	before := maps.Clone(s.marks)
	s.marks[mark.Key] = mark
	if mark.Data == nil {
		delete(s.marks, mark.Key)
	}
	s.wrote(func() { s.marks = before })
}

// ownerTopic holds the records of the owners of the shared limits.
type ownerTopic struct{ records []credit.OwnerRecord }

func (t *ownerTopic) newest(era int64) (*credit.OwnerRecord, topic.Position) {
	end := topic.Position{Era: era, Offset: int64(len(t.records))}
	if len(t.records) == 0 {
		return nil, end
	}
	record := t.records[len(t.records)-1]
	return &record, end
}

func (t *ownerTopic) append(era int64, record credit.OwnerRecord, at topic.Position) (topic.Position, error) {
	if end := (topic.Position{Era: era, Offset: int64(len(t.records))}); at.Offset != end.Offset {
		return topic.Position{}, &discovery.ConflictError{Topic: "owners", At: at, End: end}
	}
	t.records = append(t.records, record)
	return topic.Position{Era: era, Offset: int64(len(t.records))}, nil
}

func (c virtualStoreClient) CreditOwner(context.Context) (record *credit.OwnerRecord, end topic.Position, err error) {
	end, err = c.readPosition("owners", topic.Position{}, func(era int64) (int64, bool) {
		var end topic.Position
		record, end = c.owners.newest(era)
		return end.Offset, true
	})
	return record, end, err
}

func (c virtualStoreClient) PutCreditOwner(ctx context.Context, record credit.OwnerRecord, at topic.Position) (topic.Position, error) {
	if err := c.begin(); err != nil {
		return topic.Position{}, err
	}
	if c.ownerLosses > 0 {
		c.ownerLosses--
		_, _ = c.putOwner(record, at)
		c.mu.Unlock()
		time.Sleep(creditCallTimeout)
		return topic.Position{}, errRefused
	}
	if lateness := c.ownerLateness; lateness > 0 {
		c.mu.Unlock()
		time.AfterFunc(lateness, func() { c.update(func() { _, _ = c.putOwner(record, at) }) })
		time.Sleep(creditCallTimeout)
		return topic.Position{}, errRefused
	}
	end, err := c.putOwner(record, at)
	era := c.answerEra()
	c.mu.Unlock()
	if ctx.Err() != nil {
		// The caller closed the connection before the answer arrived.
		return topic.Position{}, ctx.Err()
	}
	c.LearnEra(era)
	return end, err
}

// putOwner appends a record of an owner. The lock must be held.
func (s *virtualStore) putOwner(record credit.OwnerRecord, at topic.Position) (topic.Position, error) {
	end, err := s.owners.append(s.answerEra(), record, at)
	if err == nil {
		s.wrote(func() { s.owners.records = s.owners.records[:len(s.owners.records)-1] })
	}
	return end, err
}
