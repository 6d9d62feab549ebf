//go:build !race

package crowd

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// These crowds turn to the addresses that are not meant for callers: those for checks and metrics, and those for other instances.

// listener returns one of the addresses of an instance.
type listener func(i *instance) string

func operatorListener(i *instance) string { return i.operator }
func peerListener(i *instance) string     { return i.peer }

// dialListener opens a connection whose writes end after sendTime. It returns nil if the instance does not accept it.
func dialListener(i *instance, at listener) net.Conn {
	conn, err := net.DialTimeout("tcp", at(i), sendTime)
	if err != nil {
		return nil
	}
	_ = conn.SetWriteDeadline(time.Now().Add(sendTime))
	return conn
}

// bytesAt returns a sender of some bytes to a listener.
func bytesAt(at listener, text string) func(i *instance, n int) net.Conn {
	return func(i *instance, _ int) net.Conn {
		conn := dialListener(i, at)
		if conn != nil {
			_, _ = io.WriteString(conn, text)
		}
		return conn
	}
}

const (
	// silentCallers are more than the process has descriptors.
	silentCallers = descriptorLimit + 76
	// operatorBodyBytes is the longest body that the address for checks accepts.
	operatorBodyBytes = 64 << 10
)

var (
	partialCheck    = "GET /x HTTP/1.1\r\nHost: x\r\nX-Fill: " + filler[:12<<10]
	unfinishedBody  = fmt.Sprintf("POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", operatorBodyBytes, filler[:operatorBodyBytes-shortOfEnd])
	metricsRequests = strings.Repeat("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n", 50)
	// longMessage begins with the length of a message of 8 MiB, as the codec of the peers writes it, and lacks its last bytes.
	longMessage = "\xfd\x80\x00\x00" + strings.Repeat(filler, 8)[:8<<20-shortOfEnd]
)

// checkStatus returns the status of the readiness check, 0 if there is no answer.
func (i *instance) checkStatus() int {
	client := http.Client{Timeout: ordinaryTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + i.operator + i.checkPath)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

// expectCheck verifies that the readiness check, which is repeated if it gets no answer, is answered with 200.
func expectCheck(t *testing.T, i *instance, when string) {
	t.Helper()
	status := 0
	for range ordinaryAttempts {
		if status = i.checkStatus(); status == http.StatusOK {
			return
		}
		i.countDescriptors()
		time.Sleep(ordinaryPause)
	}
	t.Errorf("%s: the readiness check was answered with status %d in %d attempts", when, status, ordinaryAttempts)
}

// expectBounds verifies that the process lives and stayed within its memory and its descriptors.
func expectBounds(t *testing.T, i *instance) {
	t.Helper()
	if !i.lives() {
		t.Fatal("the process ended")
	}
	peak, bound := i.peakMB(), i.descriptors-(descriptorLimit-maxDescriptors)
	t.Logf("memory %d MB at most, bound %d MB; %d descriptors at most, bound %d", peak, i.memoryMB, i.maxDescriptors, bound)
	if peak > i.memoryMB {
		t.Errorf("the process held up to %d MB, bound %d MB", peak, i.memoryMB)
	}
	if i.maxDescriptors > bound {
		t.Errorf("the process had up to %d open descriptors, bound %d", i.maxDescriptors, bound)
	}
}

// checkListeners runs a crowd against an instance and verifies what check does, and that the readiness check is answered too.
func (c crowd) checkListeners(t *testing.T, i *instance) {
	t.Helper()
	conns := c.gather(i)
	expectCheck(t, i, "during")
	expectOrdinary(t, i, "during")
	closeAll(conns)
	expectCheck(t, i, "after")
	expectOrdinary(t, i, "after")
	expectBounds(t, i)
}

func closeAll(conns []net.Conn) {
	for _, conn := range conns {
		if conn != nil {
			_ = conn.Close()
		}
	}
}

// Guards against silent connections to the readiness address that take all descriptors, which ended the process.
func TestEdgeSilentChecks(t *testing.T) {
	crowd{silentCallers, bytesAt(operatorListener, "")}.checkListeners(t, startEdge(t))
}

// Guards against partial heads at the readiness address that take the memory or the descriptors of the process.
func TestEdgePartialChecks(t *testing.T) {
	crowd{600, bytesAt(operatorListener, partialCheck)}.checkListeners(t, startEdge(t))
}

// Guards against unfinished bodies at the readiness address that take the memory or the descriptors of the process.
func TestEdgeUnfinishedCheckBodies(t *testing.T) {
	crowd{400, bytesAt(operatorListener, unfinishedBody)}.checkListeners(t, startEdge(t))
}

// Guards against metrics that are not read and take the memory or the descriptors of the process.
func TestEdgeUnreadMetrics(t *testing.T) {
	crowd{200, bytesAt(operatorListener, metricsRequests)}.checkListeners(t, startEdge(t))
}

// Guards against silent connections to the peer address that take the descriptors of the process.
func TestEdgeSilentPeers(t *testing.T) {
	crowd{silentCallers, bytesAt(peerListener, "")}.checkListeners(t, startEdge(t))
}

// Guards against long messages at the peer address that take the memory of the process.
func TestEdgeLongPeerMessages(t *testing.T) {
	crowd{64, bytesAt(peerListener, longMessage)}.checkListeners(t, startEdge(t))
}

// Guards against limits of the listeners that together exceed the descriptors of the process.
func TestEdgeSilentConnectionsEverywhere(t *testing.T) {
	crowd{3 * silentCallers, silentEverywhere}.checkListeners(t, startEdge(t))
}

// Guards against silent connections to the admin address that take all descriptors, which ended the process.
func TestRunSilentAdminConnections(t *testing.T) {
	crowd{silentCallers, bytesAt(operatorListener, "")}.checkListeners(t, startRun(t))
}

// Guards against partial heads at the admin address that take the memory or the descriptors of the process.
func TestRunPartialAdminHeads(t *testing.T) {
	crowd{600, bytesAt(operatorListener, partialCheck)}.checkListeners(t, startRun(t))
}

// Guards against unfinished bodies at the admin address that take the memory or the descriptors of the process.
func TestRunUnfinishedAdminBodies(t *testing.T) {
	crowd{400, bytesAt(operatorListener, unfinishedBody)}.checkListeners(t, startRun(t))
}

// Guards against metrics that are not read and take the memory or the descriptors of the process.
func TestRunUnreadMetrics(t *testing.T) {
	crowd{200, bytesAt(operatorListener, metricsRequests)}.checkListeners(t, startRun(t))
}

// Guards against silent connections to the peer address that take all descriptors of the process.
func TestRunSilentPeers(t *testing.T) {
	crowd{silentCallers, bytesAt(peerListener, "")}.checkListeners(t, startRun(t))
}

// Guards against long messages at the peer address that take the memory of the process.
func TestRunLongPeerMessages(t *testing.T) {
	crowd{64, bytesAt(peerListener, longMessage)}.checkListeners(t, startRun(t))
}

// Guards against limits of the listeners that together exceed the descriptors of the process.
func TestRunSilentConnectionsEverywhere(t *testing.T) {
	crowd{3 * silentCallers, silentEverywhere}.checkListeners(t, startRun(t))
}

// silentEverywhere opens a connection to one of the addresses in turn and sends nothing.
func silentEverywhere(i *instance, n int) net.Conn {
	switch n % 3 {
	case 0:
		return dial(i)
	case 1:
		return dialListener(i, operatorListener)
	default:
		return dialListener(i, peerListener)
	}
}

// Guards against silent connections to the readiness address that come again as soon as they are closed, and keep the platform's check
// from being answered.
func TestEdgePersistentSilentChecks(t *testing.T) {
	i := startEdge(t)
	crowd := startPersistent([]*instance{i}, 96, bytesAt(operatorListener, ""))
	defer crowd.stop()
	crowd.awaitSent(t)
	for round := range 10 {
		expectCheck(t, i, fmt.Sprintf("round %d", round))
		expectOrdinary(t, i, fmt.Sprintf("round-%d", round))
		time.Sleep(500 * time.Millisecond)
	}
	expectBounds(t, i)
}
