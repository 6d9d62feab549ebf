package testprocess

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

// roleVariable selects what a copy of the test binary runs instead of the tests.
const roleVariable = "BASILLINK_TEST_PROCESS_ROLE"

func TestMain(m *testing.M) {
	switch os.Getenv(roleVariable) {
	case "shell":
		runShell()
	case "test":
		runTest()
	case "instance":
		_, _ = io.Copy(io.Discard, os.Stdin)
	default:
		os.Exit(m.Run())
	}
}

func runAs(role string) *exec.Cmd {
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), roleVariable+"="+role)
	command.Stderr = os.Stderr
	return command
}

// runShell starts a test in its own process group and ends as soon as the test has stopped its instance.
func runShell() {
	command := runAs("test")
	command.Stdin = os.Stdin
	output, err := command.StdoutPipe()
	if err != nil || command.Start() != nil {
		os.Exit(1)
	}
	line, _ := bufio.NewReader(output).ReadString('\n')
	fmt.Print(line)
}

// runTest starts an instance, stops it, tells its process id and runs until its input ends.
func runTest() {
	command := runAs("instance")
	OwnGroup(command)
	input, err := command.StdinPipe()
	if err != nil || command.Start() != nil || command.Process.Signal(syscall.SIGSTOP) != nil {
		os.Exit(1)
	}
	defer func() {
		_ = input.Close()
		_ = command.Process.Kill()
		_ = command.Wait()
	}()
	for !isStopped(command.Process.Pid) {
		time.Sleep(time.Millisecond)
	}
	fmt.Println(command.Process.Pid)
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// isStopped reports whether a process is stopped by a signal.
func isStopped(pid int) bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, fields, found := strings.Cut(string(status), ") ")
	return err == nil && found && strings.HasPrefix(fields, "T")
}

// Guards against an instance that a test has paused and that the kernel continues, because the shell that started the test
// in the background ends: TestLongPausedInstanceIsAcceptedBack of internal/e2e then failed, once in CI.
func TestStoppedProcessOutlivesTheShell(t *testing.T) {
	shell := runAs("shell")
	OwnGroup(shell)
	// The test that the shell starts runs until this pipe is closed.
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _, _ = reader.Close(), writer.Close() }()
	shell.Stdin = reader
	output, err := shell.Output()
	if err != nil {
		t.Fatal(err)
	}
	var pid int
	if _, err := fmt.Sscan(string(output), &pid); err != nil {
		t.Fatal(err)
	}
	// The kernel signals the group while the shell ends, which Output has waited for.
	time.Sleep(100 * time.Millisecond)
	if !isStopped(pid) {
		t.Error("the stopped process was continued")
	}
}
