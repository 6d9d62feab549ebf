package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// edge is one machine of the load balancer: a process that is started with the command of the deploy file.
type edge struct {
	id, zone, ip string
	ports        edgePorts
	settings     string
	logPath      string
	process      *exec.Cmd
	exited       chan struct{}
}

// edgePorts are the ports of an instance. They are the same on all machines.
type edgePorts struct{ front, readiness, peer int }

// freePorts returns three ports that are free on the loopback addresses of a number of machines.
func freePorts(machines int) (edgePorts, error) {
	var ports [3]int
	for i := range ports {
		port, listeners, err := freePort(machines)
		// The listeners stay open until all ports are chosen, so that no port is chosen twice.
		defer closeAll(listeners)
		if err != nil {
			return edgePorts{}, err
		}
		ports[i] = port
	}
	return edgePorts{ports[0], ports[1], ports[2]}, nil
}

// maxPortTries bounds the search for a port that is free on all machines.
const maxPortTries = 20

// freePort returns a port that is free on the address of each machine, and the listeners that hold it there.
func freePort(machines int) (port int, listeners []net.Listener, err error) {
	for range maxPortTries {
		port = 0
		for number := 1; number <= machines; number++ {
			var listener net.Listener
			if listener, err = net.Listen("tcp", fmt.Sprintf("%s:%d", edgeIP(number), port)); err != nil {
				break
			}
			listeners = append(listeners, listener)
			port = listener.Addr().(*net.TCPAddr).Port
		}
		if err == nil {
			return port, listeners, nil
		}
		closeAll(listeners)
		listeners = nil
	}
	return 0, nil, err
}

func closeAll(listeners []net.Listener) {
	for _, listener := range listeners {
		_ = listener.Close()
	}
}

// newEdge writes the settings file that the platform would fill in from the template.
func newEdge(number int, zone string, ports edgePorts, storeAddress string, seeds []string, directory string) (*edge, error) {
	e := &edge{id: fmt.Sprintf("edge-%s-%d", zone, number), zone: zone, ip: edgeIP(number), ports: ports}
	e.settings = filepath.Join(directory, e.id+".toml")
	e.logPath = filepath.Join(directory, e.id+".log")
	quoted := make([]string, len(seeds))
	for i, seed := range seeds {
		quoted[i] = strconv.Quote(seed)
	}
	text := fmt.Sprintf(`[instance]
id = %q
zone = %q

[listen]
caller = "%s:%d"
readiness = "%s:%d"
peer = "%s:%d"

[store]
address = %q

[bounds]
grace_s = 6
retry_ratio = 0.2
retry_extra = 64
retry_window_s = 10
probes_per_s = 60
heartbeat_s = 1.5

[peer]
capacity = 0.32
seeds = [%s]
bootstrap = true
`, e.id, zone, e.ip, ports.front, e.ip, ports.readiness, e.ip, ports.peer, storeAddress, strings.Join(quoted, ","))
	return e, os.WriteFile(e.settings, []byte(text), 0o600)
}

func edgeIP(number int) string { return fmt.Sprintf("127.0.10.%d", number) }

func (e *edge) front() string { return fmt.Sprintf("%s:%d", e.ip, e.ports.front) }

// start starts the process.
func (e *edge) start() error {
	log, err := os.OpenFile(e.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	e.process = exec.Command("target/basillinkd", "edge")
	e.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BASILLINK_SETTINGS=" + e.settings}
	e.process.Stdout, e.process.Stderr = log, log
	e.process.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := e.process.Start(); err != nil {
		return err
	}
	exited, process := make(chan struct{}), e.process
	e.exited = exited
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	return nil
}

func (e *edge) signal(s syscall.Signal) { _ = e.process.Process.Signal(s) }

// running reports whether the process has not ended.
func (e *edge) running() bool {
	select {
	case <-e.exited:
		return false
	default:
		return true
	}
}

// stop kills the process and waits for its end.
func (e *edge) stop() {
	if e.process == nil {
		return
	}
	e.signal(syscall.SIGKILL)
	<-e.exited
}

// ready asks the readiness address as the platform does.
func (e *edge) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/-/ready", e.ip, e.ports.readiness))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// residentMB returns the resident memory of the process in MB, 0 if it cannot be read.
func (e *edge) residentMB() float64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.process.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return float64(kb) / 1024
		}
	}
	return 0
}
