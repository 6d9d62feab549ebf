package fleet

import (
	"net"
	"time"

	"github.com/basillink/basillink/internal/discovery"
)

// meet greets members that were not known.
func (n *Node) meet(list []discovery.Member, now time.Time) {
	for _, member := range list {
		n.members.learn(member)
	}
	n.greet(now)
}

// greet sends a greeting to members that have not been heard. Members of other zones talk to the readers only, so that
// their silence means nothing while any member of their zone is heard.
func (n *Node) greet(now time.Time) {
	greeted := map[string]int{}
	hasReader := n.members.zoneReader(now) != nil
	for zone := range n.members.heardZones(now) {
		greeted[zone] = remoteGreetings
	}
	for _, p := range n.members.peers {
		remote := p.Zone != n.Self.Zone
		if remote && (greeted[p.Zone] >= remoteGreetings || !n.reader && hasReader) {
			continue
		}
		if p.isLive(now) || p.leaving || now.Sub(p.greeted) < greetAgain || p.greetings >= maxGreetings && now.Sub(p.greeted) < greetLater {
			continue
		}
		p.greeted = now
		p.greetings++
		greeted[p.Zone]++
		n.send(p.Address, n.greeting(now))
	}
}

// greeting is an introduction that asks for an answer.
func (n *Node) greeting(now time.Time) *datagram {
	d := n.introduction(now)
	d.Greeting, d.Knows = true, len(n.members.peers)
	return d
}

// greetSeeds asks the seeds for the members that they know. The port of peers is the same on all instances.
func (n *Node) greetSeeds() {
	_, port, err := net.SplitHostPort(n.Self.Address)
	if err != nil {
		n.Log.Warn("Cannot greet the seeds.", "error", err)
		return
	}
	for _, host := range n.Seeds {
		if address := net.JoinHostPort(host, port); address != n.Self.Address {
			n.send(address, n.greeting(time.Now()))
		}
	}
}
