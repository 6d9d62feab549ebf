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

// MemberState is what is known about a member.
type MemberState uint8

// States of a member, in the order in which they override one another at the same counter.
const (
	Alive MemberState = iota
	Suspect
	Dead
	// Left is final: the member stopped as planned.
	Left
)

// stateNames are the names in charts/member.toml.
var stateNames = []chart.State{"alive", "suspect", "dead", "left"}

// Events in charts/member.toml.
const (
	eventMissed  = chart.Event("missed")
	eventRefuted = chart.Event("refuted")
	eventExpired = chart.Event("expired")
	eventLeft    = chart.Event("left")
)

// eventsOfStates holds the event by which a member got into a state.
var eventsOfStates = []chart.Event{eventRefuted, eventMissed, eventExpired, eventLeft}

// String returns the name of the state.
func (s MemberState) String() string { return string(stateNames[min(int(s), len(stateNames)-1)]) }

// next returns the state after an event.
func (s MemberState) next(c *chart.Chart, event chart.Event) MemberState {
	return MemberState(slices.Index(stateNames, c.Next(chart.State(s.String()), event)))
}

// Identity names one process. A restarted instance has a new incarnation and is a different member.
type Identity struct {
	ID          string
	Incarnation uint64
}

// String returns the identity in the form of a rumor's key.
func (i Identity) String() string { return fmt.Sprintf("%s/%x", i.ID, i.Incarnation) }

// Member is one instance of the fleet.
type Member struct {
	Identity
	Zone          string
	PeerAddress   string
	CallerAddress string
	AdminAddress  string
	State         MemberState
	// Counter is raised only by the member itself, to refute a suspicion.
	Counter uint32
}

// entry is a member with what only this instance knows about it.
type entry struct {
	Member
	// missed counts exchanges without an answer in a row.
	missed int
	// since is when the state was entered, by the clock of this instance.
	since time.Duration
}

// overrides reports whether m is newer than what is known.
func (m *Member) overrides(known *Member) bool {
	if known.State == Left || m.State == Left {
		return m.State == Left && known.State != Left
	}
	return cmp.Or(cmp.Compare(m.Counter, known.Counter), cmp.Compare(m.State, known.State)) > 0
}

const memberFields = 6

func (m *Member) rumor() Rumor {
	fields := []string{
		strconv.Itoa(int(m.State)), strconv.FormatUint(uint64(m.Counter), 10), m.Zone, m.PeerAddress, m.CallerAddress, m.AdminAddress,
	}
	return Rumor{Kind: KindMember, Key: m.String(), Payload: []byte(strings.Join(fields, " "))}
}

// join reports whether the rumor is that of a member that joined and never had to refute a suspicion.
func (r Rumor) join() bool {
	return r.Kind == KindMember && bytes.HasPrefix(r.Payload, []byte("0 0 "))
}

// MemberError reports a rumor about a member that cannot be decoded.
type MalformedMemberError struct{ Key string }

func (e *MalformedMemberError) Error() string {
	return fmt.Sprintf("malformed rumor about member %q", e.Key)
}

func decodeMember(r Rumor) (*Member, error) {
	id, incarnation, _ := strings.Cut(r.Key, "/")
	number, err := strconv.ParseUint(incarnation, 16, 64)
	fields := strings.Split(string(r.Payload), " ")
	if err != nil || id == "" || len(fields) != memberFields {
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
