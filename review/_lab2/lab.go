package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/basillink/basillink/platform/platformtest"
)

// program is the program that the deploy file starts, relative to the root of the repository.
const program = "target/basillinkd"

// lab holds what a case has started.
type lab struct {
	trouble bool
	started time.Time
	// directory is a temporary folder for settings and logs of the processes.
	directory string
	store     *platformtest.Store
	nodes     []*node
	// restartDelay is how long after its end a process is started again, as the platform does. 0 means never.
	restartDelay time.Duration

	mu     sync.Mutex
	record *os.File
}

func newLab(record string) (*lab, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "lab2-")
	if err != nil {
		return nil, err
	}
	return &lab{
		trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), directory: directory, store: platformtest.NewStore(), record: file,
	}, nil
}

// logf writes one line with the time since the start to the record.
func (l *lab) logf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.record, "%9.3f s  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and removes the temporary folder.
func (l *lab) close() {
	for _, n := range l.nodes {
		n.kill()
	}
	l.store.Close()
	_ = l.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.directory)
	}
}

// node is one process of the project.
type node struct {
	lab     *lab
	id      string
	host    string
	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// stopping is true once the lab ends the process.
	stopping atomic.Bool
	// ownEnds counts how often the process ended by itself.
	ownEnds atomic.Int64
	// peakMemory is the most resident memory that was seen, in bytes.
	peakMemory atomic.Int64
}

const (
	frontPort     = 18161
	readinessPort = 18167
	peerPort      = 17720
	graceS        = 6
	retryExtra    = 64
)

// freeHosts returns loopback addresses on which the ports of a node are free.
func freeHosts(count int) ([]string, error) {
	var hosts []string
	for range 200 {
		host := fmt.Sprintf("127.%d.%d.%d", 64+rand.IntN(128), rand.IntN(256), 1+rand.IntN(250))
		if portsFree(host) {
			hosts = append(hosts, host)
		}
		if len(hosts) == count {
			return hosts, nil
		}
	}
	return nil, fmt.Errorf("no free loopback addresses")
}

func portsFree(host string) bool {
	for _, port := range []int{frontPort, readinessPort, peerPort} {
		listener, err := net.Listen("tcp", net.JoinHostPort(host, fmt.Sprint(port)))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// startNodes starts one node in each of the zones with the settings that deploy/settings.toml.template yields, and waits until
// all are ready.
func (l *lab) startNodes(zones ...string) error {
	hosts, err := freeHosts(len(zones))
	if err != nil {
		return err
	}
	seeds := ""
	for _, host := range hosts[:min(3, len(hosts))] {
		seeds += fmt.Sprintf("%q, ", net.JoinHostPort(host, "18166"))
	}
	for i, zone := range zones {
		n := &node{lab: l, id: fmt.Sprintf("edge-%s-%d", zone, i+1), host: hosts[i]}
		settings := fmt.Sprintf(`[instance]
id = %q
zone = %q

[listen]
caller = "%[3]s:%[4]d"
readiness = "%[3]s:%[5]d"
peer = "%[3]s:%[6]d"

[store]
address = %[7]q

[bounds]
grace_s = %[8]d
retry_ratio = 0.2
retry_extra = %[9]d
retry_window_s = 10
probes_per_s = 60
heartbeat_s = 1.5

[memory]
limit_mb = 284

[peer]
capacity = 0.32
seeds = [%[10]s]
bootstrap = true
`, n.id, zone, n.host, frontPort, readinessPort, peerPort, l.store.Address(), graceS, retryExtra, seeds)
		if err := os.WriteFile(n.file("toml"), []byte(settings), 0o600); err != nil {
			return err
		}
		l.nodes = append(l.nodes, n)
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, n := range l.nodes {
		if err := n.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	l.logf("%d nodes are ready", len(l.nodes))
	return nil
}

func (n *node) file(extension string) string {
	return filepath.Join(n.lab.directory, n.id+"."+extension)
}

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	output, err := os.OpenFile(n.file("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.command = exec.Command(program, "edge")
	n.command.Env = append(os.Environ(), "BASILLINK_SETTINGS="+n.file("toml"))
	n.command.Stdout, n.command.Stderr = output, output
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		return err
	}
	n.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		err := command.Wait()
		_ = output.Close()
		close(exited)
		n.handleExit(err)
	}(n.command, n.exited)
	n.lab.logf("started %s", n.id)
	return nil
}

// handleExit restarts a process that ended by itself.
func (n *node) handleExit(err error) {
	if n.stopping.Load() {
		return
	}
	n.ownEnds.Add(1)
	n.lab.logf("%s ended by itself: %v", n.id, err)
	if n.lab.restartDelay == 0 {
		return
	}
	time.Sleep(n.lab.restartDelay)
	if !n.stopping.Load() {
		_ = n.start()
	}
}

// awaitReady waits until the node's readiness check succeeds.
func (n *node) awaitReady(timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if n.ready() {
			return nil
		}
	}
	return fmt.Errorf("%s did not get ready", n.id)
}

// ready reports whether the node's readiness check answers 200 within a second.
func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + net.JoinHostPort(n.host, fmt.Sprint(readinessPort)) + "/-/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (n *node) front() string { return net.JoinHostPort(n.host, fmt.Sprint(frontPort)) }

// killOnce kills the process, which is started again like one that ended by itself.
func (n *node) killOnce() {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.command.Process.Kill()
}

// kill ends the process and waits for its end.
func (n *node) kill() {
	n.stopping.Store(true)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command == nil || n.command.Process == nil {
		return
	}
	_ = n.command.Process.Kill()
	<-n.exited
}
