//go:build !race

package crowd

import (
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"
)

// These crowds send at full speed, meet a process that starts or stops, or turn from one instance to another.

// complete sends whole requests with the longest body in chunks of a size, 0 for a length, each on a connection of its own, without a
// pause and regardless of the answers. It returns the last connection.
func complete(times, size int) func(i *instance, n int) net.Conn {
	return func(i *instance, n int) net.Conn {
		var conn net.Conn
		for k := range times {
			if conn != nil {
				_ = conn.Close()
			}
			if conn = dial(i); conn == nil {
				continue
			}
			_, _ = io.WriteString(conn, whole(i, fmt.Sprintf("f%d-%d", n, k), size))
		}
		return conn
	}
}

// fullSpeedSizes are the sizes of the chunks of whole requests at full speed, 0 for a length.
var fullSpeedSizes = []int{0, 4 << 10, 64 << 10, 1 << 20}

// Guards against whole requests, on ever new connections at full speed, whose garbage takes the memory of the process.
func TestEdgeFullSpeed(t *testing.T) {
	i := startEdge(t)
	for _, size := range fullSpeedSizes {
		crowd{256, complete(24, size)}.checkListeners(t, i)
	}
}

// Guards against whole requests in large chunks, on ever new connections at full speed, that take the memory of the process.
func TestRunFullSpeedChunks(t *testing.T) {
	crowd{48, complete(6, 1<<20)}.checkListeners(t, startRun(t))
}

const (
	// smallestDescriptors is the number of descriptors of the smallest instance of the users' deployments, and smallestCallers is
	// more than that.
	smallestDescriptors = 2870
	smallestCallers     = smallestDescriptors + 330
)

// startSmallest starts an instance of the command edge with the memory and the descriptors of the smallest instance.
func startSmallest(t *testing.T) *instance {
	t.Helper()
	i := newEdge(t, newStore(t), 0, smallestMemoryMB)
	i.descriptors = smallestDescriptors
	i.start(t)
	return i
}

// Guards against silent connections that take the memory or the descriptors of the smallest instance.
func TestSmallestEdgeSilentConnections(t *testing.T) {
	crowd{smallestCallers, silent}.checkListeners(t, startSmallest(t))
}

// Guards against many heads that stop short of their end that take the memory or the descriptors of the smallest instance.
func TestSmallestEdgePartialHeads(t *testing.T) {
	crowd{smallestCallers, partialHead(2 << 10)}.checkListeners(t, startSmallest(t))
}

// Guards against whole requests at full speed that take the memory of the smallest instance.
func TestSmallestEdgeFullSpeedChunks(t *testing.T) {
	crowd{64, complete(6, 1<<20)}.checkListeners(t, startSmallest(t))
}

// persistentCrowd is a crowd whose callers connect again whenever their connection ends, until it is stopped.
type persistentCrowd struct {
	callers int
	group   sync.WaitGroup
	stopped chan struct{}
	// sent receives a value for each request that a caller has sent as far as it gets.
	sent chan struct{}
}

// startPersistent starts a crowd of callers that turn from one of the instances to the next.
func startPersistent(instances []*instance, callers int, send func(i *instance, n int) net.Conn) *persistentCrowd {
	p := &persistentCrowd{callers: callers, stopped: make(chan struct{}), sent: make(chan struct{})}
	for n := range callers {
		p.group.Go(func() {
			for k := n; p.pause(retryPause); k++ {
				if conn := send(instances[k%len(instances)], n); conn != nil {
					p.reportSent()
					p.awaitEnd(conn)
				}
			}
		})
	}
	return p
}

// reportSent passes a value to awaitSent unless the crowd stops.
func (p *persistentCrowd) reportSent() {
	select {
	case p.sent <- struct{}{}:
	case <-p.stopped:
	case <-time.After(sendTime):
	}
}

// awaitSent waits until as many requests were sent as there are callers.
func (p *persistentCrowd) awaitSent(t *testing.T) {
	t.Helper()
	limit := time.After(stopLimit)
	for n := range p.callers {
		select {
		case <-p.sent:
		case <-limit:
			t.Fatalf("%d of %d callers could send", n, p.callers)
		}
	}
}

// retryPause is the pause of a caller before it connects again.
const retryPause = 20 * time.Millisecond

// pause waits and reports whether the crowd goes on.
func (p *persistentCrowd) pause(d time.Duration) bool {
	select {
	case <-p.stopped:
		return false
	case <-time.After(d):
		return true
	}
}

// awaitEnd reads from a connection until the instance closes it or the crowd stops, and closes it.
func (p *persistentCrowd) awaitEnd(conn net.Conn) {
	ended := make(chan struct{})
	go func() { _, _ = io.Copy(io.Discard, conn); close(ended) }()
	select {
	case <-ended:
	case <-p.stopped:
	}
	_ = conn.Close()
}

func (p *persistentCrowd) stop() {
	close(p.stopped)
	p.group.Wait()
}

// Guards against a process that exceeds its memory, or does not come to serve, because it starts beside a crowd.
func TestEdgeStartsBesideCrowd(t *testing.T) {
	i := newEdge(t, newStore(t), 0, edgeMemoryMB)
	crowd := startPersistent([]*instance{i}, 64, oneChunk(8<<20))
	defer crowd.stop()
	for start := range 3 {
		i.launch(t)
		crowd.awaitSent(t)
		expectCheck(t, i, fmt.Sprintf("start %d", start))
		expectOrdinary(t, i, fmt.Sprintf("start-%d", start))
		expectBounds(t, i)
		_ = i.command.Process.Kill()
		<-i.exited
	}
}

// stopLimit is how long a process may take to stop before the test takes it for one that hangs. Its grace period is 6 s.
const stopLimit = time.Minute

// checkStop verifies that a process that is told to stop beside a crowd ends by itself and stays within its memory meanwhile.
func checkStop(t *testing.T, i *instance) {
	t.Helper()
	if err := i.command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	peak := i.peakMB()
	for deadline := time.Now().Add(stopLimit); i.lives(); time.Sleep(5 * time.Millisecond) {
		peak = max(peak, i.peakMB())
		i.countDescriptors()
		if time.Now().After(deadline) {
			t.Fatal("the process hangs")
		}
	}
	t.Logf("memory %d MB at most, bound %d MB", peak, i.memoryMB)
	if !i.command.ProcessState.Success() {
		t.Errorf("the process ended with %s", i.command.ProcessState)
	}
	if peak > i.memoryMB {
		t.Errorf("the process held up to %d MB, bound %d MB", peak, i.memoryMB)
	}
}

// Guards against a process that exceeds its memory or hangs because it stops beside callers with unfinished requests that come again.
func TestEdgeStopsBesideUnfinishedRequests(t *testing.T) {
	i := startEdge(t)
	crowd := startPersistent([]*instance{i}, 64, oneChunk(8<<20))
	defer crowd.stop()
	crowd.awaitSent(t)
	checkStop(t, i)
}

// Guards against a process that exceeds its memory or hangs because it stops beside callers that do not read their answers.
func TestEdgeStopsBesideUnreadAnswers(t *testing.T) {
	i := startEdge(t)
	conns := crowd{400, unread(4)}.gather(i)
	defer closeAll(conns)
	checkStop(t, i)
}

// Guards against a process that exceeds its memory or hangs because it stops beside callers with unfinished requests that come again.
func TestRunStopsBesideUnfinishedRequests(t *testing.T) {
	i := startRun(t)
	crowd := startPersistent([]*instance{i}, 64, oneChunk(8<<20))
	defer crowd.stop()
	crowd.awaitSent(t)
	checkStop(t, i)
}

// Guards against crowds that turn to the next instance when one refuses them, and so take the memory of several instances at once.
func TestCrowdTurnsToNextInstance(t *testing.T) {
	store := newStore(t)
	var instances []*instance
	for n := range 3 {
		i := newEdge(t, store, n, edgeMemoryMB)
		i.start(t)
		instances = append(instances, i)
	}
	crowd := startPersistent(instances, 96, oneChunk(8<<20))
	for round := range 5 {
		crowd.awaitSent(t)
		for n, i := range instances {
			i.countDescriptors()
			expectCheck(t, i, fmt.Sprintf("round %d, instance %d", round, n))
			expectOrdinary(t, i, fmt.Sprintf("round-%d-%d", round, n))
		}
	}
	crowd.stop()
	for n, i := range instances {
		expectOrdinary(t, i, fmt.Sprintf("after-%d", n))
		expectBounds(t, i)
	}
}
