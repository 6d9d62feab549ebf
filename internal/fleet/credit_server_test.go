package fleet

import (
	"bytes"
	"context"
	"encoding/gob"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/basillink/basillink/internal/credit"
	"github.com/basillink/basillink/internal/routes"
)

// newCreditServer returns the credit server of an owner whose lease ends after a time, on a clock that the caller sets.
func newCreditServer(now *time.Duration, ownedUntil time.Duration) *creditServer {
	ledger := credit.NewLedger(map[credit.Kind]credit.Bounds{credit.WorkspaceQuota: creditBounds})
	clock := &suspensionClock{detect: func() (time.Duration, time.Duration) { return *now, 0 }}
	d := &creditServer{clock: clock, ledger: ledger}
	d.begin(*now, -1)
	d.setOwner(ownedUntil, nil)
	return d
}

// Guards against an owner that was paused or suspended and grants credits before its control loop notices that its lease ended.
func TestLeaseIsCheckedBeforeEachGrant(t *testing.T) {
	now := time.Duration(0)
	d := newCreditServer(&now, credit.TTL)
	ask := credit.Ask{Number: 1, Key: creditKey, Limit: creditLimit, Count: 5}
	if answer := d.grant("a", ask); answer.Granted == 0 || answer.NotOwner {
		t.Errorf("during the lease: %+v", answer)
	}
	now, ask.Number = credit.TTL, 2
	if answer := d.grant("a", ask); answer.Granted != 0 || !answer.NotOwner {
		t.Errorf("after the lease: %+v", answer)
	}
}

// Guards against a suspension that a grant finds and of which the control loop never hears.
func TestSuspensionsReachTheControlLoop(t *testing.T) {
	pending := 3 * time.Second
	c := &suspensionClock{detect: func() (time.Duration, time.Duration) {
		suspended := pending
		pending = 0
		return time.Minute, suspended
	}}
	c.now()
	if _, got := c.takeSuspended(); got != 3*time.Second {
		t.Errorf("the control loop hears of a suspension of %s, want 3s", got)
	}
	if _, got := c.takeSuspended(); got != 0 {
		t.Errorf("the control loop hears again of a suspension of %s", got)
	}
}

// Guards against asks that waited in the socket during a pause: their senders have given up, and would lose the credits.
func TestAsksOfAPauseAreDropped(t *testing.T) {
	n := newQuietNode(t, newMember("a1", "a"))
	now := time.Duration(0)
	n.creditServer = newCreditServer(&now, time.Hour)
	ask := func(number uint32) int64 {
		before := n.CreditStats().Granted[credit.WorkspaceQuota]
		b, err := encode(&datagram{CreditAsk: &credit.Ask{Number: number, Key: creditKey, Limit: creditLimit, Count: 1}})
		if err != nil {
			t.Fatal(err)
		}
		n.receiveDatagram(b, net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:9")))
		return n.CreditStats().Granted[credit.WorkspaceQuota] - before
	}
	if got := ask(1); got != 1 {
		t.Errorf("%d credits granted, want 1", got)
	}
	n.flush.active.Store(true)
	if got := ask(2); got != 0 {
		t.Errorf("%d credits granted for an ask that waited, want none", got)
	}
}

// Guards against a rolling replacement in which the instances of two versions do not understand each other: an earlier one does not
// know the fields about credits.
func TestCreditFieldsAreOptional(t *testing.T) {
	type earlierState struct {
		ConfigNext int64
		Config     *routes.Config
	}
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(State{ConfigNext: 4, CreditOwner: &credit.Announcement{ID: "a", Next: 3}}); err != nil {
		t.Fatal(err)
	}
	var earlier earlierState
	if err := gob.NewDecoder(&b).Decode(&earlier); err != nil || earlier.ConfigNext != 4 {
		t.Errorf("an earlier version decodes %+v, error %v", earlier, err)
	}
	var later State
	if err := gob.NewEncoder(&b).Encode(earlier); err != nil {
		t.Fatal(err)
	}
	if err := gob.NewDecoder(&b).Decode(&later); err != nil || later.ConfigNext != 4 || later.CreditOwner != nil {
		t.Errorf("the state of an earlier version is decoded as %+v, error %v", later, err)
	}
	type earlierDatagram struct {
		From string `cbor:"1,keyasint,omitempty"`
	}
	sent, err := encode(&datagram{From: "a", CreditOwner: &credit.Announcement{ID: "a", Next: 3}})
	if err != nil {
		t.Fatal(err)
	}
	var received earlierDatagram
	if err := cbor.Unmarshal(sent, &received); err != nil || received.From != "a" {
		t.Errorf("an earlier version decodes the datagram %+v, error %v", received, err)
	}
	back, err := decode(sent)
	if err != nil || back.CreditOwner == nil || back.CreditOwner.Next != 3 {
		t.Errorf("this version decodes the datagram %+v, error %v", back, err)
	}
}

// Guards against an instance that makes calls or announces an owner although no limit is shared.
func TestNoCreditWithoutSharedLimits(t *testing.T) {
	for _, c := range []struct {
		config *routes.Config
		needed bool
	}{
		{&routes.Config{Services: []routes.Service{{Name: "s"}}, Workspaces: []routes.Workspace{{Name: "w"}}}, false},
		{&routes.Config{Services: []routes.Service{{Name: "s", WarmupRate: 1}}}, true},
		{&routes.Config{Workspaces: []routes.Workspace{{Name: "w"}, {Name: "v", Rate: 1}}}, true},
	} {
		if needsCredit(c.config) != c.needed {
			t.Errorf("%+v needs credit: %v, want %v", c.config, !c.needed, c.needed)
		}
	}
	n := newQuietNode(t, newMember("a1", "a"))
	n.stepCreditOwnership(context.Background(), testStart, 0)
	if a := n.creditAnnouncement(); a != nil {
		t.Errorf("announces %+v", a)
	}
}

// Guards against an owner that goes on granting a quota that a newer configuration has lowered, until an instance asks that has it.
func TestOwnerAppliesLoweredQuota(t *testing.T) {
	n := newQuietNode(t, newMember("a1", "a"))
	now := time.Duration(0)
	n.creditServer = newCreditServer(&now, time.Hour)
	number := uint32(0)
	grantedIn10s := func() int {
		granted := 0
		for range 100 {
			now += 100 * time.Millisecond
			number++
			ask := credit.Ask{Number: number, Key: creditKey, Limit: creditLimit, Count: uint16(creditLimit.Rate / 10)}
			granted += int(n.creditServer.grant("b", ask).Granted)
		}
		return granted
	}
	if got := grantedIn10s(); got < int(9*creditLimit.Rate) {
		t.Errorf("%d credits granted in 10 s, want about %.0f", got, 10*creditLimit.Rate)
	}
	n.applySharedLimits(&routes.Config{Version: creditLimit.Version + 1, Workspaces: []routes.Workspace{{Name: creditKey.Name, Rate: 1}}})
	grantedIn10s()
	if got := grantedIn10s(); got > 20 {
		t.Errorf("%d credits granted in 10 s after the quota was lowered to 1 a second", got)
	}
}
