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

// roleVariable is the environment variable that selects what a copy of the test binary runs instead of the tests.
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

// runShell starts a test in its own process group, prints the line that the test prints once it has stopped its instance,
// and returns while the test still runs.
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

// runTest starts an instance, stops it with SIGSTOP, prints its process ID and runs until its standard input is closed.
func runTest() {
	command := runAs("instance")
	SetOwnProcessGroup(command)
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

// isStopped reports whether the process is suspended by a stop signal such as SIGSTOP.
func isStopped(pid int) bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, fields, found := strings.Cut(string(status), ") ")
	return err == nil && found && strings.HasPrefix(fields, "T")
}

// Guards against the kernel continuing an instance that a test has paused, which happens when the shell that started the
// test in the background exits. TestLongPausedInstanceRejoins in internal/e2e failed once in CI for this reason.
func TestStoppedProcessStaysStoppedAfterShellExits(t *testing.T) {
	shell := runAs("shell")
	SetOwnProcessGroup(shell)
	// The test started by the shell runs until this pipe is closed.
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
	// Output has waited for the shell to exit; the kernel signals the group during that exit.
	time.Sleep(100 * time.Millisecond)
	if !isStopped(pid) {
		t.Errorf("process %d was continued after the shell exited", pid)
	}
}
