package soak

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
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
	"github.com/basillink/basillink/platform/platformtest"
)

var (
	seed      = flag.Uint64("soak.seed", 1, "seed from which faults and requests are derived")
	seconds   = flag.Int("soak.seconds", 10, "time during which faults are injected, in seconds")
	instances = flag.Int("soak.instances", 6, "number of edge instances")
)

// settingsVariable is the environment variable that makes a copy of the test binary run an edge instance. Its value is the
// instance's settings file.
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

// instance is an edge instance that runs as a separate process.
type instance struct {
	id, zone, host, settingsFile, logFile string
	// storeFront is the address at which the instance reaches the store, nil if it shares that of the store.
	storeFront *platformtest.Front

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// incarnation is the number of times that the process was started.
	incarnation int
	// disturbedAt is the time of the last stop, start, freeze or resume.
	disturbedAt time.Time
}

// recordDisturbance sets the time of the last disturbance to now.
func (i *instance) recordDisturbance() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.disturbedAt = time.Now()
}

// undisturbedFor reports whether the last disturbance was longer than d ago.
func (i *instance) undisturbedFor(d time.Duration) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return time.Since(i.disturbedAt) > d
}

// smallestMemoryMB is the memory of the smallest instance of the users' deployments. A process that exceeds it is killed.
const smallestMemoryMB = 184

const (
	callerPort    = 18080
	readinessPort = 18081
	peerPort      = 18082
)

// newInstance writes the settings file of an instance without starting it. Each instance gets its own loopback address,
// derived from the ID of the test process and the instance's number.
func newInstance(number int, zone, store, directory string) (*instance, error) {
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 100+pid>>12&63, pid>>4&255, 1+(pid&15)*16+number)
	i := &instance{id: fmt.Sprintf("e%d", number), zone: zone, host: host}
	i.settingsFile = filepath.Join(directory, i.id+".toml")
	i.logFile = filepath.Join(directory, i.id+".log")
	content := fmt.Sprintf(`[instance]
id = %q
zone = %q
[listen]
caller = "%s:%d"
readiness = "%s:%d"
peer = "%s:%d"
[store]
address = %q
[memory]
limit_mb = %d
[log]
sample_one_in = 0
`, i.id, zone, host, callerPort, host, readinessPort, host, peerPort, store, smallestMemoryMB)
	return i, os.WriteFile(i.settingsFile, []byte(content), 0o600)
}

// startInstance starts an instance with a store of its own, and waits until it is ready.
func startInstance(t *testing.T, fill func(*platformtest.Store)) *instance {
	t.Helper()
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	fill(store)
	i, err := newInstance(0, "z0", store.Address(), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = i.stop(killSignal) })
	if err := i.start(); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(5 * time.Second); !i.ready(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the instance did not get ready")
		}
	}
	return i
}

// ready reports whether the readiness check of the instance succeeds.
func (i *instance) ready() bool {
	response, err := http.Get("http://" + net.JoinHostPort(i.host, fmt.Sprint(readinessPort)) + "/-/ready")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

func (i *instance) address() string { return net.JoinHostPort(i.host, fmt.Sprint(callerPort)) }

// start starts the process unless it is running.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.command != nil {
		return nil
	}
	output, err := os.OpenFile(i.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), settingsVariable+"="+i.settingsFile)
	command.Stdout, command.Stderr = output, output
	testprocess.SetOwnProcessGroup(command)
	if err := command.Start(); err != nil {
		return err
	}
	i.incarnation++
	i.command, i.exited = command, make(chan struct{})
	go func(exited chan struct{}) {
		_ = command.Wait()
		_ = output.Close()
		close(exited)
	}(i.exited)
	return nil
}

// signal sends a signal to the process if it is running.
func (i *instance) signal(s os.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.command != nil {
		_ = i.command.Process.Signal(s)
	}
}

// stopTimeout is the time allowed for a graceful stop. The setting grace_s, which bounds the drain, defaults to 6 s.
const stopTimeout = 8 * time.Second

// stop sends a terminating signal, resumes the process in case it is frozen, and waits until it has exited. A process that
// exceeds stopTimeout is killed and reported as an error.
func (i *instance) stop(s os.Signal) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.command == nil {
		return nil
	}
	_ = i.command.Process.Signal(s)
	_ = i.command.Process.Signal(syscall.SIGCONT)
	defer func() { i.command = nil }()
	select {
	case <-i.exited:
		return nil
	case <-time.After(stopTimeout):
		_ = i.command.Process.Kill()
		<-i.exited
		return fmt.Errorf("instance %s did not exit within %s after signal %q", i.id, stopTimeout, s)
	}
}

// currentIncarnation returns the number of starts so far.
func (i *instance) currentIncarnation() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.incarnation
}
