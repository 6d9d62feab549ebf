package peer

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/basillink/basillink/internal/chart"
)

// MemberState is the state of a member as seen by this instance.
type MemberState uint8

// States of a member. At the same counter, a later state overrides an earlier one.
const (
	// Alive is the state of a member that responds to exchanges.
	Alive MemberState = iota
	// Suspect is the state of a member that failed to respond and has not refuted yet.
	Suspect
	// Dead is the state of a member that did not refute its suspicion in time or was replaced by another process.
	Dead
	// Left is the final state of a member that stopped as planned.
	Left
)

// stateNames maps a MemberState to its name in charts/member.toml.
var stateNames = []chart.State{"alive", "suspect", "dead", "left"}

// Events in charts/member.toml.
const (
	eventMissed  = chart.Event("missed")
	eventRefuted = chart.Event("refuted")
	eventExpired = chart.Event("expired")
	eventLeft    = chart.Event("left")
)

// eventsByState maps a MemberState to the event that leads to it.
var eventsByState = []chart.Event{eventRefuted, eventMissed, eventExpired, eventLeft}

// String returns the name of the state.
func (s MemberState) String() string { return string(stateNames[min(int(s), len(stateNames)-1)]) }

// next returns the state after an event according to the chart.
func (s MemberState) next(c *chart.Chart, event chart.Event) MemberState {
	return MemberState(slices.Index(stateNames, c.Next(chart.State(s.String()), event)))
}

// Identity identifies one process of an instance. A restarted instance has a new incarnation and is a different member.
type Identity struct {
	ID          string
	Incarnation uint64
}

// String returns "ID/incarnation" with a hexadecimal incarnation, which is also the key of a member's rumor.
func (i Identity) String() string { return fmt.Sprintf("%s/%x", i.ID, i.Incarnation) }

// Member describes one instance of the fleet.
type Member struct {
	Identity
	Zone          string
	PeerAddress   string
	CallerAddress string
	AdminAddress  string
	State         MemberState
	// Counter orders the states of one incarnation. Only the member itself increments it, to refute a suspicion.
	Counter uint32
}

// entry is a member with the local bookkeeping of this instance.
type entry struct {
	Member
	// missed is the number of consecutive failed exchanges.
	missed int
	// stateSince is the local time at which the member entered its state.
	stateSince time.Duration
}

// overrides reports whether m supersedes known. Left supersedes every other state regardless of the counter.
func (m *Member) overrides(known *Member) bool {
	if known.State == Left || m.State == Left {
		return m.State == Left && known.State != Left
	}
	return cmp.Or(cmp.Compare(m.Counter, known.Counter), cmp.Compare(m.State, known.State)) > 0
}

// memberFieldCount is the number of space-separated fields in the payload of a member's rumor.
const memberFieldCount = 6

// rumor encodes the member as "state counter zone peer caller admin".
func (m *Member) rumor() Rumor {
	fields := []string{
		strconv.Itoa(int(m.State)), strconv.FormatUint(uint64(m.Counter), 10), m.Zone, m.PeerAddress, m.CallerAddress, m.AdminAddress,
	}
	return Rumor{Kind: KindMember, Key: m.String(), Payload: []byte(strings.Join(fields, " "))}
}

// isJoin reports whether the rumor announces a member that is alive and never had to refute a suspicion.
func (r Rumor) isJoin() bool {
	return r.Kind == KindMember && bytes.HasPrefix(r.Payload, []byte("0 0 "))
}

// MalformedMemberError reports a member rumor that cannot be decoded.
type MalformedMemberError struct{ Key string }

func (e *MalformedMemberError) Error() string {
	return fmt.Sprintf("malformed rumor about member %q", e.Key)
}

func decodeMember(r Rumor) (*Member, error) {
	id, incarnation, _ := strings.Cut(r.Key, "/")
	number, err := strconv.ParseUint(incarnation, 16, 64)
	fields := strings.Split(string(r.Payload), " ")
	if err != nil || id == "" || len(fields) != memberFieldCount {
		return nil, &MalformedMemberError{Key: r.Key}
	}
	state, stateErr := strconv.ParseUint(fields[0], 10, 8)
	counter, counterErr := strconv.ParseUint(fields[1], 10, 32)
	if stateErr != nil || counterErr != nil || state > uint64(Left) {
		return nil, &MalformedMemberError{Key: r.Key}
	}
	return &Member{
		Identity:      Identity{ID: id, Incarnation: number},
		State:         MemberState(state),
		Counter:       uint32(counter),
		Zone:          fields[2],
		PeerAddress:   fields[3],
		CallerAddress: fields[4],
		AdminAddress:  fields[5],
	}, nil
}
