// Command lab2 runs one case of the second review: it starts stand-ins of the platform's store, of servers and of clients,
// runs the project's own program as separate processes on loopback addresses, and judges what the clients and servers saw.
//
//	lab2 CASE FOLDER
//
// It writes record.txt into the folder. The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case could not
// run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// verdict is the exit status of a case.
type verdict int

const (
	held verdict = iota
	broken
	notRun
)

// cases holds the cases by name.
var cases = map[string]func(*lab) verdict{}

func main() {
	os.Exit(int(run(os.Args)))
}

func run(args []string) verdict {
	if len(args) != 3 || cases[args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE FOLDER")
		return notRun
	}
	l, err := newLab(filepath.Join(args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer l.close()
	l.logf("case %s, trouble %t", args[1], l.trouble)
	v := cases[args[1]](l)
	l.logf("verdict: %s", map[verdict]string{held: "the rule held", broken: "the rule was broken", notRun: "the case could not run"}[v])
	return v
}
