package daemon

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"github.com/basillink/basillink/internal/control"
	"github.com/basillink/basillink/internal/logservice"
	"github.com/basillink/basillink/internal/peer"
	"github.com/basillink/basillink/internal/telemetry"
)

// leaveTimeout is the time limit for sending the closing record and announcing a planned stop to peers.
const leaveTimeout = 3 * time.Second

// setUpControlPlane builds the components that keep this instance in sync with the platform's log, the instance list
// and its peers. It starts no goroutine.
func (d *Daemon) setUpControlPlane(log *slog.Logger) error {
	client := logservice.NewClient(d.settings.Platform.Address)
	d.incarnation = rand.Uint64()
	d.logReader = &control.LogReader{
		Log: client, Loop: d.loop, Random: newRandom(), Logger: telemetry.Component(log, "reader"),
	}
	d.checkpointer = &control.Checkpointer{Log: client, Loop: d.loop, Logger: telemetry.Component(log, "checkpoint")}
	node, err := peer.NewNode(peer.Config{
		Self:          d.selfMember(),
		ListenAddress: d.settings.Listen.Peer,
		Secret:        d.settings.Peer.Secret,
		Executor:      d.loop,
		Configuration: d.loop,
		Random:        newRandom(),
		Log:           telemetry.Component(log, "peer"),
	})
	if err != nil {
		return trace.Wrap(err)
	}
	d.node = node
	d.loop.SelfID, d.loop.LiveIDs = d.settings.Instance.ID, d.liveInstanceIDs
	node.Register(peer.KindDeparture, d.loop.DepartureHandler(node.SpreadFromControl))
	d.listWatcher = &control.ListWatcher{
		List:        client,
		Loop:        d.loop,
		Seeds:       d.settings.Peer.Seeds,
		SetContacts: node.SetContacts,
		Random:      newRandom(),
		Logger:      telemetry.Component(log, "list"),
	}
	d.returnChecker = &control.ReturnChecker{
		Loop:    d.loop,
		SelfID:  d.settings.Instance.ID,
		LiveIDs: d.liveInstanceIDs,
		Check:   d.checkReturn,
	}
	return nil
}

// checkReturn probes a departed target, which may have returned as a new process. It returns the incarnation of the target,
// whether it is draining, and false if there was no usable answer.
func (d *Daemon) checkReturn(service *control.Service, address string) (string, bool, bool) {
	status, ok := d.prober.Check(service, address)
	return status.Incarnation, status.Draining, ok
}

func (d *Daemon) selfMember() peer.Member {
	return peer.Member{
		Identity:      peer.Identity{ID: d.settings.Instance.ID, Incarnation: d.incarnation},
		Zone:          d.settings.Instance.Zone,
		PeerAddress:   d.settings.Listen.Peer,
		CallerAddress: d.settings.Listen.Caller,
		AdminAddress:  d.settings.Listen.Admin,
	}
}

// runControlPlane starts the components that setUpControlPlane built. They stop when ctx is cancelled.
func (d *Daemon) runControlPlane(ctx context.Context) {
	go d.logReader.Run(ctx)
	go d.node.Run(ctx)
	go d.listWatcher.Run(ctx)
	go d.returnChecker.Run(ctx)
	go d.checkpointer.Run(ctx)
}

// leaveFleet sends the closing record, announces the planned stop to peers and closes the connections to them.
func (d *Daemon) leaveFleet(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	d.sendClosingRecord(ctx)
	if err := d.node.Leave(ctx); err != nil {
		d.log.Warn("Could not announce the stop to peers.", "error", err)
	}
	d.node.Close()
}

// liveInstanceIDs returns the IDs of the instances that are alive or suspected.
func (d *Daemon) liveInstanceIDs() []string {
	var ids []string
	for _, m := range d.node.Members() {
		if m.State == peer.Alive || m.State == peer.Suspect {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// memberCounts returns the number of known instances by state.
func (d *Daemon) memberCounts() map[string]int {
	counts := map[string]int{}
	for _, m := range d.node.Members() {
		counts[m.State.String()]++
	}
	return counts
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
