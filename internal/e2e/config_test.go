package e2e

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/client"
	"github.com/basillink/basillink/internal/intent"
	"github.com/basillink/basillink/internal/logservice"
	"github.com/basillink/basillink/internal/standin"
	"github.com/basillink/basillink/internal/testwait"
)

// Guards against an instance that is cut off from the log and stays on an old revision.
func TestCutOffInstanceLearnsFromPeers(t *testing.T) {
	f := newTestFleet(t, 20)
	target := f.target()
	for i := range f.instances {
		f.start(i, f.address)
	}
	f.allAt(f.publish(fleetService("flightdesk", 4, target.Address())), f.all()...)
	f.stop(7, syscall.SIGKILL)
	f.start(7, f.cutAddress)
	f.allAt(1, 7)
	for i := range 3 {
		f.allAt(f.publish(fleetService("flightdesk", 5+i, target.Address())), f.all()...)
	}
	testwait.Until(t, "the instance that is cut off says so", func() bool {
		status := f.status(7)
		return status != nil && status.Configuration == "cut_off"
	})
	if status, body := f.lookup(7, "cut"); status != http.StatusOK {
		t.Fatalf("the instance that is cut off answers %d: %s", status, body)
	}
}

// revisions watches the instances and fails the test when one reports an older revision than before. A restart
// resets what is expected of an instance.
type revisions struct {
	mu   sync.Mutex
	last map[int]logservice.Offset
	stop chan struct{}
	done sync.WaitGroup
}

func watchRevisions(f *testFleet) *revisions {
	r := &revisions{last: map[int]logservice.Offset{}, stop: make(chan struct{})}
	for i := range f.instances {
		r.done.Go(func() {
			for {
				select {
				case <-r.stop:
					return
				case <-time.After(20 * time.Millisecond):
					r.check(f, i)
				}
			}
		})
	}
	return r
}

func (r *revisions) check(f *testFleet, i int) {
	status := f.status(i)
	r.mu.Lock()
	defer r.mu.Unlock()
	if status == nil {
		return
	}
	if status.Revision < r.last[i] {
		f.t.Errorf("instance %d went back from revision %d to %d", i, r.last[i], status.Revision)
	}
	r.last[i] = status.Revision
}

func (r *revisions) forget(i int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.last, i)
}

func (r *revisions) end() {
	close(r.stop)
	r.done.Wait()
}

// Guards against a revision that is lost or reverted while instances are killed, paused, resumed and restarted.
func TestRevisionsSurviveKillsAndPauses(t *testing.T) {
	f := newTestFleet(t, 5)
	target := f.target()
	f.startAll()
	f.allAt(f.publish(fleetService("flightdesk", 1, target.Address())), f.all()...)
	watch := watchRevisions(f)
	var last logservice.Offset
	for round := range 6 {
		paused, killed := round%5, (round+2)%5
		f.signal(paused, syscall.SIGSTOP)
		f.publish(fleetService("flightdesk", 10+round, target.Address()))
		f.stop(killed, syscall.SIGKILL)
		last = f.publish(fleetService("flightdesk", 100+round, target.Address()))
		f.signal(paused, syscall.SIGCONT)
		watch.forget(killed)
		f.start(killed, f.address)
		f.allAt(last, f.all()...)
	}
	watch.end()
	for i := range f.instances {
		testwait.Until(t, "every instance serving", func() bool {
			status, _ := f.lookup(i, fmt.Sprintf("end-%d", i))
			return status == http.StatusOK
		})
	}
}

// Guards against an instance that was paused for so long that its peers took it for dead, and that is not accepted
// back or that keeps an old revision.
func TestLongPausedInstanceIsAcceptedBack(t *testing.T) {
	f := newTestFleet(t, 4)
	target := f.target()
	f.startAll()
	f.allAt(f.publish(fleetService("flightdesk", 1, target.Address())), f.all()...)
	waitForMembers(f)
	f.signal(2, syscall.SIGSTOP)
	var seen map[string]int
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("members last seen by a peer: %v", seen)
		}
	})
	testwait.Until(t, "the paused instance dead for a peer", func() bool {
		status := f.status(0)
		if status != nil {
			seen = status.Members
		}
		return seen["dead"] == 1
	})
	revision := f.publish(fleetService("flightdesk", 2, target.Address()))
	f.signal(2, syscall.SIGCONT)
	f.allAt(revision, f.all()...)
	waitForMembers(f)
}

// Guards against a fresh instance that cannot start during a log outage although its peers have the configuration,
// and against one that reports ready without any.
func TestFreshInstanceStartsFromPeersDuringOutage(t *testing.T) {
	f := newTestFleet(t, 4)
	target := f.target()
	for i := range 3 {
		f.start(i, f.address)
	}
	revision := f.publish(fleetService("flightdesk", 4, target.Address()))
	f.allAt(revision, 0, 1, 2)
	f.log.SetFaults(standin.LogFaults{Down: true})
	f.stop(1, syscall.SIGKILL)
	f.start(1, f.address)
	f.start(3, f.address)
	f.allAt(revision, 1, 3)
	if status, body := f.lookup(3, "outage"); status != http.StatusOK {
		t.Fatalf("a fresh instance answers %d during the outage: %s", status, body)
	}
	for i := range f.instances {
		f.stop(i, syscall.SIGKILL)
	}
	f.start(0, f.address)
	testwait.Until(t, "an instance without configuration", func() bool { return f.status(0) != nil })
	time.Sleep(time.Second)
	if f.ready(0) {
		t.Fatal("an instance without any configuration is ready")
	}
	f.log.SetFaults(standin.LogFaults{})
	f.allAt(revision, 0)
}

// Guards against two acceptances, or none, when operators race on one service and an answer is lost.
func TestOperatorsRaceWithLostAnswers(t *testing.T) {
	f := newTestFleet(t, 3)
	target := f.target()
	f.startAll()
	f.allAt(f.publish(fleetService("flightdesk", 1, target.Address())), f.all()...)
	ctx := context.Background()
	for round := range 10 {
		state, err := client.ReadState(ctx, f.log)
		if err != nil {
			t.Fatal(err)
		}
		f.log.SetFaults(standin.LogFaults{LoseAnswers: 1 + round%2})
		errs := make([]error, 3)
		var wait sync.WaitGroup
		for operator, name := range []string{"flightdesk", "flightdesk", "airlog"} {
			own := state.Clone()
			wait.Go(func() {
				s := fleetService(name, 10*round+operator+2, target.Address())
				_, errs[operator] = client.Publish(ctx, logservice.NewClient(f.address), own, fmt.Sprint("operator ", operator), s)
			})
		}
		wait.Wait()
		if errs[2] != nil {
			t.Fatalf("round %d: the change of another service failed: %v", round, errs[2])
		}
		if (errs[0] == nil) == (errs[1] == nil) {
			t.Fatalf("round %d: not exactly one of two racing changes was accepted: %v, %v", round, errs[0], errs[1])
		}
		var refused *client.ConflictError
		if !errors.As(errors.Join(errs[0], errs[1]), &refused) || !strings.Contains(refused.Diff, "slots_per_target") {
			t.Fatalf("round %d: the refusal is not a conflict with a diff: %v, %v", round, errs[0], errs[1])
		}
	}
	state, err := client.ReadState(ctx, f.log)
	if err != nil {
		t.Fatal(err)
	}
	f.allAt(state.Revision, f.all()...)
}

// Guards against a configuration that is lost when every instance was replaced after the retention of its record.
func TestReplaceAllInstancesInTurn(t *testing.T) {
	const retention = 4 * time.Second
	f := newTestFleet(t, 3)
	f.log.SetFaults(standin.LogFaults{Retention: retention})
	target := f.target()
	f.startAll()
	revision := f.publish(fleetService("flightdesk", 4, target.Address()))
	f.allAt(revision, f.all()...)
	testwait.Until(t, "a log without the change", func() bool {
		page, err := f.log.Read(context.Background(), 1, 1, 0)
		return err == nil && page.Earliest > revision
	})
	for i := range f.instances {
		f.stop(i, syscall.SIGTERM)
		f.start(i, f.address)
		f.allAt(revision, i)
	}
	for i := range f.instances {
		f.stop(i, syscall.SIGKILL)
	}
	f.start(0, f.address)
	f.allAt(revision, 0)
	if n := countCheckpoints(t, f.log); n > 3*len(f.instances) {
		t.Errorf("%d checkpoints are retained", n)
	}
}

func countCheckpoints(t *testing.T, log logservice.Log) int {
	t.Helper()
	page, err := log.Read(context.Background(), 1, 1000, 0)
	if err != nil {
		t.Fatal(err)
	}
	count := 0
	for _, r := range page.Records {
		if record, err := intent.DecodeRecord(r.Payload); err == nil && record.Kind == intent.KindCheckpoint {
			count++
		}
	}
	return count
}
