package fleet

import (
	"net"
	"time"

	"github.com/basillink/basillink/internal/discovery"
)

const (
	// greetAgain is the pause before a silent member is greeted again, maxGreetings how often that happens, and greetLater
	// the pause after that.
	greetAgain   = 300 * time.Millisecond
	greetLater   = 5 * time.Second
	maxGreetings = 4
	// fewMembers is the number of known members up to which an instance of another zone is told of some. Bytes between zones
	// are paid for.
	fewMembers = 3
	// remoteGreetings is how many members of another zone are greeted at a time while none of them is heard.
	remoteGreetings = 2
	// seedInterval is the pause before the seeds are greeted again while no other instance is heard, and lastSeedInterval
	// the longest such pause.
	seedInterval     = 100 * time.Millisecond
	lastSeedInterval = 2 * time.Second
)

// meet greets members that were not known.
func (n *Node) meet(list []discovery.Member, now time.Time) {
	for _, member := range list {
		n.members.learn(member, now)
	}
	n.greet(now)
}

// greet sends a greeting to members that have not been heard: the council of this zone, or all of the zone if this
// instance belongs to it. Members of other zones talk to the readers only, so that their silence means nothing while any
// member of their zone is heard.
func (n *Node) greet(now time.Time) {
	most := councilSize
	if n.reader || n.members.inCouncil(now) {
		most = len(n.members.zone)
	}
	n.greetSilent(n.members.zone[:min(most, len(n.members.zone))], most, now)
	if !n.reader && n.members.zoneReader(now) != nil {
		return
	}
	for zone, list := range n.members.remote {
		if !n.members.hears(zone, now) {
			n.greetSilent(list, remoteGreetings, now)
		}
	}
}

// greetSilent greets members of a list that are not heard, at most a number of them.
func (n *Node) greetSilent(list []*peerState, most int, now time.Time) {
	for _, p := range list {
		if most == 0 {
			return
		}
		if p.isLive(now) || p.leaving || now.Sub(p.greeted) < greetAgain || p.greetings >= maxGreetings && now.Sub(p.greeted) < greetLater {
			continue
		}
		most--
		p.greeted = now
		p.greetings++
		n.sendAll(n.greeting(now), p.udp)
	}
}

// greeting is an introduction that asks for an answer.
func (n *Node) greeting(now time.Time) *datagram {
	d := n.introduction(now)
	d.Greeting, d.Knows = true, len(n.members.peers)
	return d
}

// greetSeeds asks the seeds for members while no instance of this zone reads it. The port of peers is the same on all
// instances.
func (n *Node) greetSeeds(now time.Time) {
	if len(n.Seeds) == 0 || now.Before(n.seedsAt) {
		return
	}
	n.seedPause = min(max(2*n.seedPause, seedInterval), lastSeedInterval)
	n.seedsAt = now.Add(n.seedPause)
	_, port, err := net.SplitHostPort(n.Self.Address)
	if err != nil {
		n.Log.Warn("Cannot greet the seeds.", "error", err)
		return
	}
	for _, host := range n.Seeds {
		if address := net.JoinHostPort(host, port); address != n.Self.Address {
			n.send(address, n.greeting(now))
		}
	}
}

// answerGreeting answers a greeting with what the sender needs to find its zone and to start.
func (n *Node) answerGreeting(d *datagram, p *peerState, now time.Time) {
	answer := n.introduction(now)
	if len(n.members.peers) > d.Knows && (p.Zone == n.Self.Zone || d.Knows <= fewMembers) {
		answer.Members = n.members.introductions(p.Zone, false)
	}
	answer.ZoneSize = n.members.sizeOf(p.Zone)
	answer.Targets, answer.Config = n.targetsNote(now), n.configNote(now)
	n.sendAll(answer, p.udp)
}
