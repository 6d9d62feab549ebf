// Package testprocess runs copies of test binaries as processes of their own.
package testprocess

import (
	"os"
	"os/exec"
	"syscall"
	"time"
)

// OwnGroup lets a command start in a process group of its own. The kernel continues the stopped processes of a group when
// the shell that started it ends, so that a process which a test has paused in the group of the test would run on.
func OwnGroup(command *exec.Cmd) {
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
}

// parentPollInterval is the pause between two looks of ExitWithParent.
const parentPollInterval = time.Second

// ExitWithParent ends this process soon after its parent has ended. An interrupt of a terminal reaches the group of the
// test only, and a test that runs into its timeout ends without cleaning up.
func ExitWithParent() {
	parent := os.Getppid()
	go func() {
		for os.Getppid() == parent {
			time.Sleep(parentPollInterval)
		}
		os.Exit(1)
	}()
}
