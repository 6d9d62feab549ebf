package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// world is a small deployment: a store, servers, instances and a record of what clients saw.
type world struct {
	store   *store
	servers []*server
	// serverCount is the number of servers that were started.
	serverCount int
	edges       []*edge
	runs        *runLog
	trouble     bool
	dir         string
	zones       []string
	started     time.Time

	mu     sync.Mutex
	record *os.File
}

const (
	host        = "ficu95.example"
	safePath    = "/lohu930/"
	unsafePath  = "/pufi791/"
	serviceName = "huvo11a"
	// addedPath is the prefix of the route that a later configuration adds, and quietServiceName the service that it leads to.
	addedPath        = "/mevo552/"
	quietServiceName = "wuno96b"
	heartbeat        = 1500 * time.Millisecond
	// slots is maxConcurrency of the servers.
	slots = 4
)

// settleTime is how long all machines run before the requests begin, so that they are in touch (stabilityWindowS is 3).
const settleTime = 4 * time.Second

// newWorld starts a store and writes the first configuration. The variable TROUBLE=0 turns the disruption of the case off.
func newWorld(directory string) (*world, error) {
	file, err := os.Create(filepath.Join(directory, "record.txt"))
	if err != nil {
		return nil, err
	}
	w := &world{runs: newRunLog(), zones: []string{"padova-a"}, trouble: os.Getenv("TROUBLE") != "0", record: file, started: time.Now()}
	if w.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	if w.store, err = newStore(); err != nil {
		return nil, err
	}
	w.putConfig(firstVersion, false)
	w.note("trouble: %t", w.trouble)
	return w, nil
}

// startServers starts servers of the service in both zones.
func (w *world) startServers(count int, readWork, bookWork time.Duration) error {
	for range count {
		if err := w.addServer(serviceName, true, readWork, bookWork); err != nil {
			return err
		}
	}
	go w.beat()
	return nil
}

const firstServerID = 0x7f3a9100

func (w *world) addServer(service string, tellsLoad bool, readWork, bookWork time.Duration) error {
	w.serverCount++
	id := fmt.Sprintf("i-%08x", firstServerID+w.serverCount)
	s, err := newServer(id, service, w.zones[w.serverCount%len(w.zones)], slots, w.runs)
	if err != nil {
		return err
	}
	s.readWork, s.bookWork, s.tellsLoad = readWork, bookWork, tellsLoad
	go s.accept()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.servers = append(w.servers, s)
	w.store.put(topicServers, s.id, s.entry("ready"))
	return nil
}

// beat writes the entries of the servers at each heartbeat.
func (w *world) beat() {
	for {
		time.Sleep(heartbeat)
		w.mu.Lock()
		for _, s := range w.servers {
			w.store.put(topicServers, s.id, s.entry("ready"))
		}
		w.mu.Unlock()
	}
}

const (
	firstVersion  = 7
	secondVersion = 12
)

// putConfig writes a configuration like that of the examples on the pages. If added is set, it has one more route, to a service whose
// servers do not tell their load.
func (w *world) putConfig(version int, added bool) {
	limits := map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15}
	resource := func(kind, name string, spec map[string]any) map[string]any {
		return map[string]any{"resourceType": kind, "metadata": map[string]any{"name": name}, "spec": spec}
	}
	route := func(name, prefix, kind, service string, timeout float64) map[string]any {
		return resource("routes", name, map[string]any{
			"host": host, "pathPrefix": prefix, "kind": kind, "timeoutS": timeout, "targetLatencyS": 0.8, "priority": 1,
			"service": service, "maxAttempts": 2,
		})
	}
	service := func(name string) map[string]any {
		return resource("services", name, map[string]any{"healthCheckPath": healthPath, "maxConnections": 260, "protocol": "h1", "tls": false})
	}
	resources := []any{
		route("r-a3hwrr6", safePath, "safe", serviceName, routeTimeout.Seconds()), route("r-x73d3zj", unsafePath, "unsafe", serviceName, uploadDeadline.Seconds()),
		service(serviceName), service(quietServiceName), resource("limits", "", limits),
	}
	if added {
		resources = append(resources, route("r-k81bq0t", addedPath, "safe", quietServiceName, routeTimeout.Seconds()))
	}
	w.store.put(topicConfig, "config", map[string]any{"version": fmt.Sprintf("%08x", version), "resources": resources})
}

// startEdges starts the instances and waits until all are ready.
func (w *world) startEdges(count int) error {
	ports, err := freePorts(count)
	if err != nil {
		return err
	}
	seeds := []string{}
	for i := range min(count, 3) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", edgeIP(i+1), ports.peer))
	}
	for i := range count {
		e, err := newEdge(i+1, w.zones[i%len(w.zones)], ports, w.store.address(), seeds, w.dir)
		if err != nil {
			return err
		}
		if err := e.start(); err != nil {
			return err
		}
		w.edges = append(w.edges, e)
	}
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		readyCount := 0
		for _, e := range w.edges {
			if e.ready() {
				readyCount++
			}
		}
		if readyCount == count {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d instances are ready", readyCount, count)
		}
	}
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(w.started).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = w.record.WriteString(line)
}

// close ends all processes.
func (w *world) close() {
	for _, e := range w.edges {
		e.stop()
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}
