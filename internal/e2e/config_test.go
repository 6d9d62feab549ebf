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

// Guards against an instance that cannot reach the log and therefore keeps an old revision instead of getting updates from its
// peers.
func TestIsolatedInstanceUpdatesFromPeers(t *testing.T) {
	f := newTestFleet(t, 20)
	target := f.startTarget()
	for i := range f.instances {
		f.startInstance(i, f.address)
	}
	f.awaitRevision(f.publish(fleetService("flightdesk", 4, target.Address())), f.allInstances()...)
	f.stop(7, syscall.SIGKILL)
	f.startInstance(7, f.logDownAddress)
	f.awaitRevision(1, 7)
	for i := range 3 {
		f.awaitRevision(f.publish(fleetService("flightdesk", 5+i, target.Address())), f.allInstances()...)
	}
	testwait.Until(t, "the isolated instance to report that it is cut off", func() bool {
		status := f.status(7)
		return status != nil && status.Configuration == "cut_off"
	})
	if status, body := f.lookup(7, "cut"); status != http.StatusOK {
		t.Fatalf("the isolated instance answered with status %d: %s", status, body)
	}
}

// revisionWatcher polls the instances and fails the test when one reports an older revision than before. The test must call
// reset for an instance that it restarts.
type revisionWatcher struct {
	mu   sync.Mutex
	last map[int]logservice.Offset
	stop chan struct{}
	done sync.WaitGroup
}

func watchRevisions(f *testFleet) *revisionWatcher {
	r := &revisionWatcher{last: map[int]logservice.Offset{}, stop: make(chan struct{})}
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

func (r *revisionWatcher) check(f *testFleet, i int) {
	status := f.status(i)
	r.mu.Lock()
	defer r.mu.Unlock()
	if status == nil {
		return
	}
	if status.Revision < r.last[i] {
		f.t.Errorf("instance %d reverted from revision %d to %d", i, r.last[i], status.Revision)
	}
	r.last[i] = status.Revision
}

func (r *revisionWatcher) reset(i int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.last, i)
}

func (r *revisionWatcher) finish() {
	close(r.stop)
	r.done.Wait()
}

// Guards against a revision that is lost or reverted when instances are killed, paused, resumed and restarted.
func TestRevisionsSurviveKillsAndPauses(t *testing.T) {
	f := newTestFleet(t, 5)
	target := f.startTarget()
	f.startAll()
	f.awaitRevision(f.publish(fleetService("flightdesk", 1, target.Address())), f.allInstances()...)
	watch := watchRevisions(f)
	var last logservice.Offset
	for round := range 6 {
		paused, killed := round%5, (round+2)%5
		f.signal(paused, syscall.SIGSTOP)
		f.publish(fleetService("flightdesk", 10+round, target.Address()))
		f.stop(killed, syscall.SIGKILL)
		last = f.publish(fleetService("flightdesk", 100+round, target.Address()))
		f.signal(paused, syscall.SIGCONT)
		watch.reset(killed)
		f.startInstance(killed, f.address)
		f.awaitRevision(last, f.allInstances()...)
	}
	watch.finish()
	for i := range f.instances {
		testwait.Until(t, "every instance to serve", func() bool {
			status, _ := f.lookup(i, fmt.Sprintf("end-%d", i))
			return status == http.StatusOK
		})
	}
}

// Guards against an instance that was paused until its peers declared it dead and that, after it resumes, does not rejoin or
// keeps an old revision.
func TestLongPausedInstanceRejoins(t *testing.T) {
	f := newTestFleet(t, 4)
	target := f.startTarget()
	f.startAll()
	f.awaitRevision(f.publish(fleetService("flightdesk", 1, target.Address())), f.allInstances()...)
	awaitMembers(f)
	f.signal(2, syscall.SIGSTOP)
	var members map[string]int
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("members last reported by instance 0: %v", members)
		}
	})
	testwait.Until(t, "the paused instance to be declared dead by a peer", func() bool {
		status := f.status(0)
		if status != nil {
			members = status.Members
		}
		return members["dead"] == 1
	})
	revision := f.publish(fleetService("flightdesk", 2, target.Address()))
	f.signal(2, syscall.SIGCONT)
	f.awaitRevision(revision, f.allInstances()...)
	awaitMembers(f)
}

// Guards against a new instance that cannot start during a log outage although its peers have the configuration, and against
// an instance that reports ready without any configuration.
func TestFreshInstanceStartsFromPeersDuringOutage(t *testing.T) {
	f := newTestFleet(t, 4)
	target := f.startTarget()
	for i := range 3 {
		f.startInstance(i, f.address)
	}
	revision := f.publish(fleetService("flightdesk", 4, target.Address()))
	f.awaitRevision(revision, 0, 1, 2)
	f.log.SetFaults(standin.LogFaults{Down: true})
	f.stop(1, syscall.SIGKILL)
	f.startInstance(1, f.address)
	f.startInstance(3, f.address)
	f.awaitRevision(revision, 1, 3)
	if status, body := f.lookup(3, "outage"); status != http.StatusOK {
		t.Fatalf("a new instance answered with status %d during the outage: %s", status, body)
	}
	for i := range f.instances {
		f.stop(i, syscall.SIGKILL)
	}
	f.startInstance(0, f.address)
	testwait.Until(t, "the status of an instance without a configuration", func() bool { return f.status(0) != nil })
	time.Sleep(time.Second)
	if f.isReady(0) {
		t.Fatal("an instance without a configuration reports ready")
	}
	f.log.SetFaults(standin.LogFaults{})
	f.awaitRevision(revision, 0)
}

// Guards against accepting two changes, or none, when two operators change the same service concurrently and an answer of the
// log is lost.
func TestOperatorsRaceWithLostAnswers(t *testing.T) {
	f := newTestFleet(t, 3)
	target := f.startTarget()
	f.startAll()
	f.awaitRevision(f.publish(fleetService("flightdesk", 1, target.Address())), f.allInstances()...)
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
			operatorState := state.Clone()
			wait.Go(func() {
				s := fleetService(name, 10*round+operator+2, target.Address())
				_, errs[operator] = client.Publish(ctx, logservice.NewClient(f.address), operatorState, fmt.Sprint("operator ", operator), s)
			})
		}
		wait.Wait()
		if errs[2] != nil {
			t.Fatalf("round %d: the concurrent change of another service failed: %v", round, errs[2])
		}
		if (errs[0] == nil) == (errs[1] == nil) {
			t.Fatalf("round %d: of two concurrent changes not exactly one was accepted: errors %v, %v", round, errs[0], errs[1])
		}
		var refused *client.ConflictError
		if !errors.As(errors.Join(errs[0], errs[1]), &refused) || !strings.Contains(refused.Diff, "slots_per_target") {
			t.Fatalf("round %d: the refused change did not fail with a conflict that shows the diff: errors %v, %v", round, errs[0], errs[1])
		}
	}
	state, err := client.ReadState(ctx, f.log)
	if err != nil {
		t.Fatal(err)
	}
	f.awaitRevision(state.Revision, f.allInstances()...)
}

// Guards against a configuration that is lost when all instances are replaced after the log has dropped its record.
func TestReplaceAllInstancesInTurn(t *testing.T) {
	const retention = 4 * time.Second
	f := newTestFleet(t, 3)
	f.log.SetFaults(standin.LogFaults{Retention: retention})
	target := f.startTarget()
	f.startAll()
	revision := f.publish(fleetService("flightdesk", 4, target.Address()))
	f.awaitRevision(revision, f.allInstances()...)
	testwait.Until(t, "the log to drop the record of the change", func() bool {
		page, err := f.log.Read(context.Background(), 1, 1, 0)
		return err == nil && page.Earliest > revision
	})
	for i := range f.instances {
		f.stop(i, syscall.SIGTERM)
		f.startInstance(i, f.address)
		f.awaitRevision(revision, i)
	}
	for i := range f.instances {
		f.stop(i, syscall.SIGKILL)
	}
	f.startInstance(0, f.address)
	f.awaitRevision(revision, 0)
	if n := countCheckpoints(t, f.log); n > 3*len(f.instances) {
		t.Errorf("the log retains %d checkpoints, more than 3 per instance", n)
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
