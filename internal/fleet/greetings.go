package fleet

import (
	"net"
	"time"

	"github.com/basillink/basillink/internal/discovery"
)

const (
	// greetingRetry is the pause before a silent member is greeted again, maxGreetings is the number of greetings with
	// that pause, and lateGreetingRetry is the pause after those.
	greetingRetry     = 300 * time.Millisecond
	lateGreetingRetry = 5 * time.Second
	maxGreetings      = 4
	// fewKnownMembers is a number of members: the answer to a greeting from another zone contains members only if the
	// sender knows at most that many. Traffic between zones is billed.
	fewKnownMembers = 3
	// maxRemoteGreetings is how many members of another zone are greeted at a time while none of them is live.
	maxRemoteGreetings = 2
	// minSeedBackoff and maxSeedBackoff bound the growing pause between two greetings of the seeds.
	minSeedBackoff = 100 * time.Millisecond
	maxSeedBackoff = 2 * time.Second
)

// addMembers adds members to the table and greets those that were not heard from yet.
func (n *Node) addMembers(list []discovery.Member, now time.Time) {
	for _, member := range list {
		n.members.add(member, now)
	}
	n.greetSilentMembers(now)
}

// greetSilentMembers greets the members that are not live: all of this zone if this instance is its leader or a
// standby, else the first maxStandbys of them. Members of other zones send only to leaders, so their silence means
// nothing while any member of their zone is live.
func (n *Node) greetSilentMembers(now time.Time) {
	limit := maxStandbys
	if n.isLeader || n.members.isStandby(now) {
		limit = len(n.members.zonePeers)
	}
	n.sendGreetings(n.members.zonePeers[:min(limit, len(n.members.zonePeers))], limit, now)
	if !n.isLeader && n.members.zoneLeader(now) != nil {
		return
	}
	for zone, list := range n.members.remotePeers {
		if !n.members.hasLivePeer(zone, now) {
			n.sendGreetings(list, maxRemoteGreetings, now)
		}
	}
}

// sendGreetings greets at most limit members of a list that are not live.
func (n *Node) sendGreetings(list []*peerState, limit int, now time.Time) {
	for _, p := range list {
		if limit == 0 {
			return
		}
		if p.isLive(now) || p.leaving || now.Sub(p.lastGreeted) < greetingRetry || p.unansweredGreetings >= maxGreetings && now.Sub(p.lastGreeted) < lateGreetingRetry {
			continue
		}
		limit--
		p.lastGreeted = now
		p.unansweredGreetings++
		n.sendDatagram(n.newGreeting(now), p.udp)
	}
}

// newGreeting returns a self-announcement that requests an answer.
func (n *Node) newGreeting(now time.Time) *datagram {
	d := n.selfAnnouncement(now)
	d.Greeting, d.KnownMembers = true, len(n.members.peers)
	return d
}

// greetSeeds asks the seeds for members. The port for peers is the same on all instances.
func (n *Node) greetSeeds(now time.Time) {
	if len(n.Seeds) == 0 || now.Before(n.nextSeedGreeting) {
		return
	}
	n.seedBackoff = min(max(2*n.seedBackoff, minSeedBackoff), maxSeedBackoff)
	n.nextSeedGreeting = now.Add(n.seedBackoff)
	_, port, err := net.SplitHostPort(n.Self.Address)
	if err != nil {
		n.Log.Warn("Could not greet the seeds.", "error", err)
		return
	}
	for _, host := range n.Seeds {
		if address := net.JoinHostPort(host, port); address != n.Self.Address {
			n.sendToAddress(address, n.newGreeting(now))
		}
	}
}

// answerGreeting answers a greeting with what the sender needs to find its zone and to start serving.
func (n *Node) answerGreeting(d *datagram, p *peerState, now time.Time) {
	answer := n.selfAnnouncement(now)
	if len(n.members.peers) > d.KnownMembers && (p.Zone == n.Self.Zone || d.KnownMembers <= fewKnownMembers) {
		answer.Members = n.members.membersToIntroduce(p.Zone, false)
	}
	answer.ZoneSize = n.members.zoneSize(p.Zone)
	answer.Targets, answer.Config = n.targetsUpdate(now), n.configStatus(now)
	n.addCreditOwner(answer)
	answer.Departures = n.registry.RecentDepartures(now)
	n.sendDatagram(answer, p.udp)
}
