package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/basillink/basillink/internal/routes"
)

func init() { cases["chunk"] = runChunk }

const (
	// memoryLimit is memoryMb of the settings of a process.
	memoryLimit = 284 << 20
	// uploadBytes is the length of the bodies that are uploaded in the burst, half of maxBodyBytes and a little more, and
	// usualBytes that of the others.
	uploadBytes = 33 << 20
	usualBytes  = 4 << 20
	// uplinkBytesPerS is the bandwidth of a client's own line. Eight of them nearly fill the link of a machine, 1,000 Mbit/s.
	uplinkBytesPerS = 15_000_000
	// uploadPause is the pause of a client between two uploads.
	uploadPause = 3 * time.Second
	// reservers is the number of clients that reserve, and burstUploaders that of the clients that come in the burst.
	reservers      = 12
	burstUploaders = 8
	chunkBurstAt   = 6 * time.Second
	chunkBurstFor  = 2700 * time.Millisecond
	chunkLength    = 16 * time.Second
)

// runChunk lets eight more clients come at once and upload a long body in one chunk each, while others reserve.
func runChunk(l *lab) verdict {
	arrived := &arrivals{byID: map[string]string{}}
	sound := map[string]bool{}
	var servers []*server
	for i := range 4 {
		s, err := startServer(fmt.Sprintf("i-%d", i+1), "desk", "north-a", 8, 200*time.Millisecond)
		if err != nil {
			l.logf("%v", err)
			return notRun
		}
		handler := arrived.wrap(s, *s.handler.Load())
		s.handler.Store(&handler)
		sound[s.id] = true
		servers = append(servers, s)
	}
	stop := make(chan struct{})
	defer close(stop)
	l.register(servers)
	route := func(name string) routes.Route {
		return routes.Route{
			Name: name, Host: host, PathPrefix: "/" + name + "/", Timeout: 9 * time.Second, LatencyObjective: time.Second,
			Priority: 1, MaxAttempts: 2, Split: []routes.Share{{Service: "desk", Weight: 1}},
		}
	}
	l.store.PutConfig(&routes.Config{
		Version: 1, Services: []routes.Service{{Name: "desk", HealthPath: "/health", MaxConnections: 250}},
		Routes: []routes.Route{route("reserve"), route("upload")},
	})
	l.restartDelay = time.Second
	if err := l.startNodes("north-a", "north-a"); err != nil {
		l.logf("%v", err)
		return notRun
	}
	go l.enforceMemory(l.nodes[0], stop)
	time.Sleep(4 * time.Second)
	trafficAt := time.Now()
	l.logf("traffic starts: %d clients reserve, one uploads %d MiB in one chunk again and again", reservers, usualBytes>>20)
	var all exchanges
	var wait sync.WaitGroup
	for range reservers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c := &caller{lab: l}
			defer c.close()
			for time.Since(trafficAt) < chunkLength {
				one := c.send(http.MethodPost, "/reserve/x", 2*time.Second)
				all.add(one)
				if one.status == 0 {
					time.Sleep(100 * time.Millisecond)
				}
			}
		}()
	}
	results := &uploadResults{counts: map[string]int{}}
	uploadUntil := func(bytes int, begin, end time.Duration) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			time.Sleep(begin - time.Since(trafficAt))
			for time.Since(trafficAt) < end {
				results.add(l.upload(bytes))
				time.Sleep(uploadPause)
			}
		}()
	}
	uploadUntil(usualBytes, 0, chunkLength)
	if l.trouble {
		l.logf("from %s to %s after that, %d more clients upload %d MiB each in one chunk", chunkBurstAt, chunkBurstAt+chunkBurstFor, burstUploaders, uploadBytes>>20)
		for range burstUploaders {
			uploadUntil(uploadBytes, chunkBurstAt, chunkBurstAt+chunkBurstFor)
		}
	}
	wait.Wait()
	l.logf("uploads: %v; peak memory of %s: %d MB", results.counts, l.nodes[0].id, l.nodes[0].peakMemory.Load()>>20)
	return l.judgeLost(&all, arrived, sound)
}

type uploadResults struct {
	mu     sync.Mutex
	counts map[string]int
}

func (r *uploadResults) add(result string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[result]++
}

// uploadPart is how many bytes of a body a client writes at a time.
const uploadPart = 64 << 10

// upload sends one body in one chunk on a new connection and returns the status of the answer.
func (l *lab) upload(bytes int) string {
	conn, err := net.DialTimeout("tcp", l.nodes[0].front(), time.Second)
	if err != nil {
		return "no connection"
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(8 * time.Second))
	answer := make(chan string, 1)
	go func() { answer <- readStatus(conn) }()
	if _, err := fmt.Fprintf(conn, "POST /upload/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %016x\r\nX-Deadline-Ms: 8000\r\n"+
		"Transfer-Encoding: chunked\r\n\r\n%x\r\n", host, rand.Uint64(), bytes); err == nil {
		part := make([]byte, uploadPart)
		startedAt := time.Now()
		for sent := 0; sent < bytes && err == nil; sent += uploadPart {
			time.Sleep(time.Until(startedAt.Add(time.Duration(sent) * time.Second / uplinkBytesPerS)))
			_, err = conn.Write(part)
		}
		if err == nil {
			_, _ = io.WriteString(conn, "\r\n0\r\n\r\n")
		}
	}
	return <-answer
}

// readStatus reads an answer and returns its status.
func readStatus(conn net.Conn) string {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "closed"
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return fmt.Sprint(response.StatusCode)
}

// enforceMemory does what the platform does: it kills the process of a node that exceeds its memory.
func (l *lab) enforceMemory(n *node, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		used := n.residentBytes()
		storeMax(&n.peakMemory, used)
		if used > memoryLimit {
			l.logf("%s uses %d MB of %d MB: the platform kills its process", n.id, used>>20, memoryLimit>>20)
			n.killOnce()
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func storeMax(a *atomic.Int64, v int64) {
	if v > a.Load() {
		a.Store(v)
	}
}

// residentBytes returns the resident memory of the node's process, 0 if it does not run.
func (n *node) residentBytes() int64 {
	n.mu.Lock()
	pid := n.command.Process.Pid
	n.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}
