package peer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/basillink/basillink/internal/chart"
	"github.com/basillink/basillink/internal/logservice"
)

const (
	// suspectAfterMisses is the number of consecutive failed exchanges after which a member becomes suspect.
	suspectAfterMisses = 2
	// suspicionTimeout is the time that a suspect member has to refute. It equals 30 rounds; with 200 instances a
	// rumor and its refutation take about 24 rounds.
	suspicionTimeout = 6 * time.Second
	// tombstoneTTL is how long dead and left members are kept. It must be at least the lifetime of a ticket.
	tombstoneTTL = 10 * time.Minute
	// rejoinRounds is the number of rounds between contacts to addresses without a live member. These contacts let
	// the sides of a partitioned fleet find each other again.
	rejoinRounds = 25
	// fastRejoinRounds replaces rejoinRounds after such a contact reached a member that was considered dead. The
	// other members of its side must be contacted too, because a death can be refuted only by the member itself.
	fastRejoinRounds = 2
	// maxDeathRumors limits the dead members reported to one address, which may have had many incarnations.
	maxDeathRumors = 4
	// maxMembers limits the number of other members in the table, including dead and left ones.
	maxMembers = 8192
)

// KindDigest is a digest of all rumors of a kind that an instance knows.
type KindDigest struct {
	Kind   Kind
	Digest uint64
}

// Exchange is the request and the response of Peer.Exchange. For compatibility, fields may be added but not changed or
// removed.
type Exchange struct {
	From Identity
	// Address is the sender's peer address.
	Address string
	// Through is the sender's applied offset of the configuration log.
	Through logservice.Offset
	Digests []KindDigest
	Rumors  []Rumor
	// Introduce asks the receiver to include its own member state in the response.
	Introduce bool
	// Unknown reports that the sender has no entry for the receiver.
	Unknown bool
}

// Contact is the destination of an exchange. Identity is empty if only the address is known, from the instance list or
// the settings.
type Contact struct {
	Identity
	Address string
}

// Gossip is the state machine of membership and rumor dissemination. It does no I/O and is not safe for concurrent use.
// Its times are monotonic times since the start of the process.
type Gossip struct {
	chart   *chart.Chart
	self    Member
	members map[Identity]*entry
	// contactOrder holds the members still to be contacted in the current pass over the live members.
	contactOrder []Identity
	// newMembers holds the members added since the last contact; nextMember inserts them into contactOrder.
	newMembers []Identity
	// retries holds the members to contact again after a first failed exchange.
	retries []Identity
	round   int
	// nextRejoinRound is the round of the next contact to an address without a live member.
	nextRejoinRound int
	contacts        []string
	queue           queue
	handlers        map[Kind]Handler
	kinds           []Kind
	appliedOffset   func() logservice.Offset
	changed         bool
	// lastTick is the time of the latest round, and resumedAt when the first round after a pause of the process began.
	lastTick, resumedAt time.Duration
	// live holds the sorted identities of the live members; nil after a change.
	live []Identity
}

// NewGossip returns a state machine whose only member is self. appliedOffset returns the applied offset of the
// configuration log.
func NewGossip(self Member, appliedOffset func() logservice.Offset) (*Gossip, error) {
	members, err := chart.Load("member")
	if err != nil {
		return nil, err
	}
	g := &Gossip{
		chart:         members,
		self:          self,
		members:       map[Identity]*entry{},
		handlers:      map[Kind]Handler{},
		appliedOffset: appliedOffset,
		changed:       true,
	}
	g.queue.add(g.self.rumor())
	return g, nil
}

// Register sets the handler of a kind. It must be called before the first message is handled.
func (g *Gossip) Register(kind Kind, h Handler) {
	g.handlers[kind] = h
	g.kinds = append(g.kinds, kind)
	slices.Sort(g.kinds)
}

// Spread queues a rumor that originates at this instance.
func (g *Gossip) Spread(r Rumor) { g.queue.add(r) }

// SetContacts replaces the addresses from the instance list and the settings.
func (g *Gossip) SetContacts(addresses []string) { g.contacts = addresses }

// Tick starts a round. It expires suspicions and tombstones and returns the contact for the next exchange, or false if
// there is none.
func (g *Gossip) Tick(now time.Duration, random *rand.Rand) (Contact, bool) {
	g.excludePause(now)
	g.expireMembers(now)
	g.round++
	if contact, ok := g.nextRetry(); ok {
		return contact, true
	}
	if g.round >= g.nextRejoinRound || len(g.liveIdentities()) == 0 {
		g.nextRejoinRound = g.round + rejoinRounds
		if contact, ok := g.rejoinContact(random); ok {
			return contact, true
		}
	}
	return g.nextMember(random)
}

// pauseThreshold is the time between two rounds from which on the process counts as paused. Rounds are 200 ms apart.
const pauseThreshold = time.Second

// pausedSinceTick reports whether the process was paused after the latest round.
func (g *Gossip) pausedSinceTick(now time.Duration) bool {
	return g.lastTick > 0 && now-g.lastTick >= pauseThreshold
}

// excludePause extends suspicions by the length of a pause of the process: refutations that arrived in it are not read yet.
func (g *Gossip) excludePause(now time.Duration) {
	if g.pausedSinceTick(now) {
		g.resumedAt = now
		for _, e := range g.members {
			if e.State == Suspect {
				e.stateSince += now - g.lastTick
			}
		}
	}
	g.lastTick = now
}

// nextRetry returns the next member whose last exchange failed.
func (g *Gossip) nextRetry() (Contact, bool) {
	for len(g.retries) > 0 {
		id := g.retries[0]
		g.retries = g.retries[1:]
		if e := g.members[id]; e != nil && e.State == Alive && e.missed > 0 {
			return Contact{Identity: id, Address: e.PeerAddress}, true
		}
	}
	return Contact{}, false
}

// nextMember iterates over the live members in random order and reshuffles after each pass, so that every member is
// contacted within 2n rounds, where n is the number of live members.
func (g *Gossip) nextMember(random *rand.Rand) (Contact, bool) {
	for _, id := range g.newMembers {
		// A random position keeps instances that joined at the same time from contacting the same members in lockstep.
		g.contactOrder = slices.Insert(g.contactOrder, random.IntN(len(g.contactOrder)+1), id)
	}
	g.newMembers = nil
	for range 2 {
		for len(g.contactOrder) > 0 {
			id := g.contactOrder[0]
			g.contactOrder = g.contactOrder[1:]
			if e := g.members[id]; e != nil && e.live() {
				return Contact{Identity: id, Address: e.PeerAddress}, true
			}
		}
		g.contactOrder = slices.Clone(g.liveIdentities())
		random.Shuffle(len(g.contactOrder), func(i, j int) { g.contactOrder[i], g.contactOrder[j] = g.contactOrder[j], g.contactOrder[i] })
	}
	return Contact{}, false
}

// rejoinContact returns a random address of a dead member or configured contact at which no live member is known.
func (g *Gossip) rejoinContact(random *rand.Rand) (Contact, bool) {
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

// NewRequest returns the request to send to a contact.
func (g *Gossip) NewRequest(to Contact, random *rand.Rand) Exchange {
	message := g.newMessage()
	if to.ID == "" {
		message.Introduce = true
		message.Rumors = append(message.Rumors, g.deadMembersAt(to.Address)...)
	}
	if sample, ok := g.randomMemberRumor(random); ok {
		message.Rumors = append(message.Rumors, sample)
	}
	return message
}

// deadMembersAt returns rumors about dead members at an address, so that a member that is alive can refute its death.
func (g *Gossip) deadMembersAt(address string) []Rumor {
	var rumors []Rumor
	for _, id := range g.sortedIdentities(func(e *entry) bool { return e.State == Dead && e.PeerAddress == address }) {
		rumors = append(rumors, g.members[id].rumor())
	}
	return rumors[max(0, len(rumors)-maxDeathRumors):]
}

// randomMemberRumor returns the state of a random live member. Added to each request, it repairs losses of the bounded
// rumor queue at a cost that is independent of the fleet size.
func (g *Gossip) randomMemberRumor(random *rand.Rand) (Rumor, bool) {
	live := g.liveIdentities()
	if len(live) == 0 {
		return Rumor{}, false
	}
	return g.members[live[random.IntN(len(live))]].rumor(), true
}

// HandleRequest merges a request and returns the response.
func (g *Gossip) HandleRequest(now time.Duration, request Exchange) Exchange {
	g.mergeMessage(now, request)
	response := g.newMessage()
	if request.Introduce {
		response.Rumors = append(response.Rumors, g.self.rumor())
	}
	g.addSenderState(request.From, &response)
	return response
}

// addSenderState tells the sender of a request that it is unknown or not considered alive here, so that it can announce
// itself or refute.
func (g *Gossip) addSenderState(sender Identity, response *Exchange) {
	e := g.members[sender]
	switch {
	case e == nil:
		response.Unknown = true
	case e.State != Alive:
		response.Rumors = append(response.Rumors, e.rumor())
	}
}

// HandleResponse merges the response of a contact.
func (g *Gossip) HandleResponse(now time.Duration, from Contact, response Exchange) {
	if from.ID != "" && from.Identity != response.From {
		g.markReplaced(now, from.Identity)
	}
	sender := g.members[response.From]
	wasDead := sender != nil && sender.State == Dead
	g.mergeMessage(now, response)
	if wasDead && sender.live() {
		g.nextRejoinRound = min(g.nextRejoinRound, g.round+fastRejoinRounds)
	}
	if response.Unknown {
		g.queue.add(g.self.rumor())
	}
}

// markReplaced marks a member dead because another process answers at its address.
func (g *Gossip) markReplaced(now time.Duration, id Identity) {
	if e := g.members[id]; e != nil && e.live() {
		g.transition(now, e, eventExpired)
	}
}

// HandleFailure records a failed exchange, unless it may have failed because this process was paused. The first failure schedules a retry; after suspectAfterMisses consecutive
// failures the member becomes suspect.
func (g *Gossip) HandleFailure(startedAt, now time.Duration, to Contact) {
	e := g.members[to.Identity]
	if e == nil || e.State != Alive || startedAt < g.resumedAt || g.pausedSinceTick(now) {
		return
	}
	e.missed++
	if e.missed < suspectAfterMisses {
		g.retries = append(g.retries, to.Identity)
		return
	}
	g.transition(now, e, eventMissed)
}

// Leave announces the planned stop of this instance.
func (g *Gossip) Leave() {
	g.self.State = Left
	g.queue.add(g.self.rumor())
}

// newMessage returns a message with the digests of all kinds and the next queued rumors.
func (g *Gossip) newMessage() Exchange {
	message := Exchange{From: g.self.Identity, Address: g.self.PeerAddress, Through: g.appliedOffset()}
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

// mergeMessage merges the rumors of a message and queues those that changed the state.
func (g *Gossip) mergeMessage(now time.Duration, message Exchange) {
	for _, r := range message.Rumors {
		if g.mergeRumor(now, r) {
			g.queue.add(r)
		}
	}
	if e := g.members[message.From]; e != nil {
		e.missed = 0
	}
}

// Merge merges pulled rumors. They are not queued, because other instances that miss them pull them as well.
func (g *Gossip) Merge(now time.Duration, rumors []Rumor) {
	for _, r := range rumors {
		g.mergeRumor(now, r)
	}
}

// mergeRumor merges a rumor and reports whether it changed the state. Invalid rumors and unknown kinds are ignored.
func (g *Gossip) mergeRumor(now time.Duration, r Rumor) bool {
	if r.Validate() != nil {
		return false
	}
	if r.Kind == KindMember {
		member, err := decodeMember(r)
		return err == nil && g.mergeMember(now, member)
	}
	handler, ok := g.handlers[r.Kind]
	return ok && handler.Receive(r)
}
