package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// maxCaseTime ends a case that does not end by itself.
const maxCaseTime = 110 * time.Second

// cases holds the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(w *world) (broken bool, err error){
	"added":  addedRoute,
	"expect": expectAfterIdle,
	"hang":   hangAfterKill,
	"leaver": frozenReader,
	"memory": largeBodies,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE DIRECTORY")
		os.Exit(statusNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

// runCase runs a case and ends all processes that it started.
func runCase(name, directory string) int {
	w, err := newWorld(directory)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer w.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	finished := make(chan int, 1)
	go func() { finished <- w.run(cases[name]) }()
	select {
	case status := <-finished:
		return status
	case s := <-interrupted:
		w.note("interrupted: %s", s)
	case <-time.After(maxCaseTime):
		w.note("the case did not end in time")
	}
	return statusNotRun
}

// run runs a case and returns the exit status.
func (w *world) run(f func(*world) (bool, error)) int {
	broken, err := f(w)
	switch {
	case err != nil:
		w.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	case broken:
		w.note("the rule was broken")
		fmt.Println("the rule was broken")
		return statusBroken
	}
	w.note("the rule held")
	fmt.Println("the rule held")
	return statusHeld
}
