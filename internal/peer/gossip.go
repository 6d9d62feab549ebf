package peer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/basillink/basillink/internal/chart"
	"github.com/basillink/basillink/internal/logservice"
)

const (
	// missedLimit is the number of exchanges in a row without an answer that makes a member suspect.
	missedLimit = 2
	// suspicionTimeout leaves a suspect time to refute: 30 rounds, while a rumor and its refutation take about 24
	// rounds with 200 instances.
	suspicionTimeout = 6 * time.Second
	// forgetAfter is how long members that are gone are remembered. It is at least a ticket's lifetime.
	forgetAfter = 10 * time.Minute
	// contactEvery is the number of rounds after which an address outside the live members is contacted, so that
	// parts of a fleet that lost each other meet again.
	contactEvery = 25
	// reunionEvery is the number of rounds between such contacts after one found a member alive that was taken for
	// dead. The others of its part have to be told as well, because only a member itself refutes its death.
	reunionEvery = 2
	// maxDeaths bounds what is told about an address whose process was restarted often.
	maxDeaths = 4
	// maxMembers bounds the table.
	maxMembers = 8192
)

// KindDigest identifies everything that an instance knows of a kind.
type KindDigest struct {
	Kind   Kind
	Digest uint64
}

// Exchange is the message of Peer.Exchange, in both directions. Fields are only ever added.
type Exchange struct {
	From Identity
	// Address is the sender's peer address.
	Address string
	// Through is the sender's applied offset.
	Through logservice.Offset
	Digests []KindDigest
	Rumors  []Rumor
	// Introduce asks for the receiver's own member state.
	Introduce bool
	// Unknown tells the receiver that the sender does not know it as alive.
	Unknown bool
}

// Contact is whom to exchange with. The identity is empty for an address from the list or the settings.
type Contact struct {
	Identity
	Address string
}

// Gossip is the state machine of membership and rumors. It is pure and owned by one goroutine; times are monotonic
// times since the start of the process.
type Gossip struct {
	chart   *chart.Chart
	self    Member
	members map[Identity]*entry
	order   []Identity
	joined  []Identity
	retry   []Identity
	round   int
	// nextOutsider is the round of the next contact outside the live members.
	nextOutsider int
	contacts     []string
	queue        queue
	handlers     map[Kind]Handler
	kinds        []Kind
	through      func() logservice.Offset
	changed      bool
	// live caches the live members in order, nil after a change.
	live []Identity
}

// NewGossip returns a state machine that knows only itself. Through returns the applied offset.
func NewGossip(self Member, through func() logservice.Offset) (*Gossip, error) {
	members, err := chart.Load("member")
	if err != nil {
		return nil, err
	}
	g := &Gossip{
		chart:    members,
		self:     self,
		members:  map[Identity]*entry{},
		handlers: map[Kind]Handler{},
		through:  through,
		changed:  true,
	}
	g.queue.add(g.self.rumor())
	return g, nil
}

// Register sets the handler of a kind. It must be called before the first message.
func (g *Gossip) Register(kind Kind, h Handler) {
	g.handlers[kind] = h
	g.kinds = append(g.kinds, kind)
	slices.Sort(g.kinds)
}

// Spread queues a rumor that originates here.
func (g *Gossip) Spread(r Rumor) { g.queue.add(r) }

// SetContacts sets the addresses from the list and the settings.
func (g *Gossip) SetContacts(addresses []string) { g.contacts = addresses }

// Tick starts a round: it ends suspicions whose time has passed and returns whom to exchange with.
func (g *Gossip) Tick(now time.Duration, random *rand.Rand) (Contact, bool) {
	g.expire(now)
	g.round++
	if contact, ok := g.nextRetry(); ok {
		return contact, true
	}
	if g.round >= g.nextOutsider || len(g.liveIdentities()) == 0 {
		g.nextOutsider = g.round + contactEvery
		if contact, ok := g.outsider(random); ok {
			return contact, true
		}
	}
	return g.nextMember(random)
}

func (g *Gossip) nextRetry() (Contact, bool) {
	for len(g.retry) > 0 {
		id := g.retry[0]
		g.retry = g.retry[1:]
		if e := g.members[id]; e != nil && e.State == Alive && e.missed > 0 {
			return Contact{Identity: id, Address: e.PeerAddress}, true
		}
	}
	return Contact{}, false
}

// nextMember goes through the live members in an order that is shuffled anew each time around, so that every member
// is contacted within twice their number of rounds.
func (g *Gossip) nextMember(random *rand.Rand) (Contact, bool) {
	for _, id := range g.joined {
		// A random place keeps instances that joined together from contacting the same members in step.
		g.order = slices.Insert(g.order, random.IntN(len(g.order)+1), id)
	}
	g.joined = nil
	for range 2 {
		for len(g.order) > 0 {
			id := g.order[0]
			g.order = g.order[1:]
			if e := g.members[id]; e != nil && e.live() {
				return Contact{Identity: id, Address: e.PeerAddress}, true
			}
		}
		g.order = slices.Clone(g.liveIdentities())
		random.Shuffle(len(g.order), func(i, j int) { g.order[i], g.order[j] = g.order[j], g.order[i] })
	}
	return Contact{}, false
}

// outsider returns an address at which no live member is known.
func (g *Gossip) outsider(random *rand.Rand) (Contact, bool) {
	live := map[string]bool{g.self.PeerAddress: true}
	var addresses []string
	for _, e := range g.members {
		if e.live() {
			live[e.PeerAddress] = true
		} else if e.State == Dead {
			addresses = append(addresses, e.PeerAddress)
		}
	}
	addresses = append(addresses, g.contacts...)
	addresses = slices.DeleteFunc(addresses, func(address string) bool { return address == "" || live[address] })
	if len(addresses) == 0 {
		return Contact{}, false
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	return Contact{Address: addresses[random.IntN(len(addresses))]}, true
}

// Request returns the message to a contact.
func (g *Gossip) NewRequest(to Contact, random *rand.Rand) Exchange {
	message := g.message()
	if to.ID == "" {
		message.Introduce = true
		message.Rumors = append(message.Rumors, g.deathsAt(to.Address)...)
	}
	if sample, ok := g.sample(random); ok {
		message.Rumors = append(message.Rumors, sample)
	}
	return message
}

// deathsAt returns the members at an address that are taken for dead, so that one that is not refutes it.
func (g *Gossip) deathsAt(address string) []Rumor {
	var rumors []Rumor
	for _, id := range g.identities(func(e *entry) bool { return e.State == Dead && e.PeerAddress == address }) {
		rumors = append(rumors, g.members[id].rumor())
	}
	return rumors[max(0, len(rumors)-maxDeaths):]
}

// sample returns the state of a random member. It repairs what bounded rumors missed, at a cost that does not grow
// with the fleet.
func (g *Gossip) sample(random *rand.Rand) (Rumor, bool) {
	live := g.liveIdentities()
	if len(live) == 0 {
		return Rumor{}, false
	}
	return g.members[live[random.IntN(len(live))]].rumor(), true
}

// Receive handles a request and returns the answer.
func (g *Gossip) HandleRequest(now time.Duration, request Exchange) Exchange {
	g.absorb(now, request)
	answer := g.message()
	if request.Introduce {
		answer.Rumors = append(answer.Rumors, g.self.rumor())
	}
	g.describe(request.From, &answer)
	return answer
}

// describe tells a sender how this instance knows it, so that it can introduce itself or refute.
func (g *Gossip) describe(sender Identity, answer *Exchange) {
	e := g.members[sender]
	switch {
	case e == nil:
		answer.Unknown = true
	case e.State != Alive:
		answer.Rumors = append(answer.Rumors, e.rumor())
	}
}

// Answered handles the answer of a contact.
func (g *Gossip) HandleResponse(now time.Duration, from Contact, answer Exchange) {
	if from.ID != "" && from.Identity != answer.From {
		g.replaced(now, from.Identity)
	}
	before := g.members[answer.From]
	dead := before != nil && before.State == Dead
	g.absorb(now, answer)
	if dead && before.live() {
		g.nextOutsider = min(g.nextOutsider, g.round+reunionEvery)
	}
	if answer.Unknown {
		g.queue.add(g.self.rumor())
	}
}

// replaced marks a member dead because another process answers at its address.
func (g *Gossip) replaced(now time.Duration, id Identity) {
	if e := g.members[id]; e != nil && e.live() {
		g.fire(now, e, eventExpired)
	}
}

// Missed records that a contact did not answer in time.
func (g *Gossip) HandleFailure(now time.Duration, to Contact) {
	e := g.members[to.Identity]
	if e == nil || e.State != Alive {
		return
	}
	e.missed++
	if e.missed < missedLimit {
		g.retry = append(g.retry, to.Identity)
		return
	}
	g.fire(now, e, eventMissed)
}

// Leave announces that this instance stops as planned.
func (g *Gossip) Leave() {
	g.self.State = Left
	g.queue.add(g.self.rumor())
}

func (g *Gossip) message() Exchange {
	message := Exchange{From: g.self.Identity, Address: g.self.PeerAddress, Through: g.through()}
	for _, kind := range g.kinds {
		if digest := g.handlers[kind].Digest; digest != nil {
			if sum := digest(); sum != 0 {
				message.Digests = append(message.Digests, KindDigest{Kind: kind, Digest: sum})
			}
		}
	}
	message.Rumors = g.queue.take(len(g.members) + 1)
	return message
}

// absorb merges a message and passes news on.
func (g *Gossip) absorb(now time.Duration, message Exchange) {
	for _, r := range message.Rumors {
		if g.receive(now, r) {
			g.queue.add(r)
		}
	}
	if e := g.members[message.From]; e != nil {
		e.missed = 0
	}
}

// Merge takes over rumors that were pulled. They are not passed on: those who miss them pull them as well.
func (g *Gossip) Merge(now time.Duration, rumors []Rumor) {
	for _, r := range rumors {
		g.receive(now, r)
	}
}

// receive handles a rumor and reports whether it was news.
func (g *Gossip) receive(now time.Duration, r Rumor) bool {
	if r.Validate() != nil {
		return false
	}
	if r.Kind == KindMember {
		member, err := decodeMember(r)
		return err == nil && g.learn(now, member)
	}
	handler, ok := g.handlers[r.Kind]
	return ok && handler.Receive(r)
}
