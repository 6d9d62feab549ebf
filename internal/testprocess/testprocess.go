// Package testprocess helps tests that run copies of the test binary as separate processes.
package testprocess

import (
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"
)

// SetOwnProcessGroup makes command start in its own process group. It must be called before the command starts and replaces
// command.SysProcAttr. When the shell that started a process group exits, the kernel continues the stopped processes of
// that group; a process that a test has paused in the test's own group would then resume.
func SetOwnProcessGroup(command *exec.Cmd) {
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
}

// parentPollInterval is the interval at which ExitWithParent checks the parent process.
const parentPollInterval = time.Second

// ExitWithParent starts a goroutine that exits this process with status 1 within about a second of its parent's exit. It is
// needed because an interrupt from the terminal reaches only the test's process group, and a test that exceeds its timeout
// exits without running its cleanup functions.
func ExitWithParent() {
	parent := os.Getppid()
	go func() {
		for os.Getppid() == parent {
			time.Sleep(parentPollInterval)
		}
		os.Exit(1)
	}()
}

// PauseSelf stops the test's own process for some time, as an operator or a machine without a free processor would.
func PauseSelf(t testing.TB, pause time.Duration) {
	t.Helper()
	script := fmt.Sprintf("kill -STOP %[1]d; sleep %[2]f; kill -CONT %[1]d", os.Getpid(), pause.Seconds())
	command := exec.Command("sh", "-c", script)
	SetOwnProcessGroup(command)
	if err := command.Run(); err != nil {
		t.Fatal(err)
	}
}
