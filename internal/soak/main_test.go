package soak

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/daemoncli"
	"github.com/basillink/basillink/internal/testprocess"
)

var (
	seed      = flag.Uint64("soak.seed", 1, "seed of the faults")
	seconds   = flag.Int("soak.seconds", 10, "duration of the faults in seconds")
	instances = flag.Int("soak.instances", 6, "number of edge instances")
)

// settingsVariable makes a copy of the test binary run an edge instance.
const settingsVariable = "BASILLINK_SOAK_SETTINGS"

func TestMain(m *testing.M) {
	file := os.Getenv(settingsVariable)
	if file == "" {
		os.Exit(m.Run())
	}
	testprocess.ExitWithParent()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	os.Exit(int(daemoncli.RunEdge(ctx, os.Stdout, os.Stderr, file)))
}

// instance is an edge instance in a process of its own.
type instance struct {
	id, zone, host, settings, logs string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// incarnation counts the starts.
	incarnation int
	// disturbedAt is when the instance was last stopped, started, frozen or continued.
	disturbedAt time.Time
}

// noteDisturbance notes that the instance is disturbed now.
func (i *instance) noteDisturbance() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.disturbedAt = time.Now()
}

// calmFor reports whether the instance was not disturbed for a time.
func (i *instance) calmFor(d time.Duration) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return time.Since(i.disturbedAt) > d
}

const (
	callerPort    = 18080
	readinessPort = 18081
	peerPort      = 18082
)

// newInstance prepares an instance. Each has a loopback address of its own, derived from the test process.
func newInstance(number int, zone, store, directory string) (*instance, error) {
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 100+pid>>12&63, pid>>4&255, 1+(pid&15)*16+number)
	i := &instance{id: fmt.Sprintf("e%d", number), zone: zone, host: host}
	i.settings = filepath.Join(directory, i.id+".toml")
	i.logs = filepath.Join(directory, i.id+".log")
	text := fmt.Sprintf(`[instance]
id = %q
zone = %q
[listen]
caller = "%s:%d"
readiness = "%s:%d"
peer = "%s:%d"
[store]
address = %q
[log]
sample_one_in = 0
`, i.id, zone, host, callerPort, host, readinessPort, host, peerPort, store)
	return i, os.WriteFile(i.settings, []byte(text), 0o600)
}

func (i *instance) address() string { return net.JoinHostPort(i.host, fmt.Sprint(callerPort)) }

// start starts the process unless it runs.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.command != nil {
		return nil
	}
	logs, err := os.OpenFile(i.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), settingsVariable+"="+i.settings)
	command.Stdout, command.Stderr = logs, logs
	testprocess.SetOwnProcessGroup(command)
	if err := command.Start(); err != nil {
		return err
	}
	i.incarnation++
	i.command, i.ended = command, make(chan struct{})
	go func(ended chan struct{}) {
		_ = command.Wait()
		_ = logs.Close()
		close(ended)
	}(i.ended)
	return nil
}

// signal sends a signal to the process if it runs.
func (i *instance) signal(s os.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.command != nil {
		_ = i.command.Process.Signal(s)
	}
}

// endLimit bounds a planned stop. The settings grant 6 s.
const endLimit = 8 * time.Second

// end sends a signal that ends the process and waits until it has ended.
func (i *instance) end(s os.Signal) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.command == nil {
		return nil
	}
	_ = i.command.Process.Signal(s)
	_ = i.command.Process.Signal(syscall.SIGCONT)
	defer func() { i.command = nil }()
	select {
	case <-i.ended:
		return nil
	case <-time.After(endLimit):
		_ = i.command.Process.Kill()
		<-i.ended
		return fmt.Errorf("%s did not end within %s after %s", i.id, endLimit, s)
	}
}

// current returns the number of the incarnation.
func (i *instance) current() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.incarnation
}
