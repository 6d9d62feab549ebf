// Package soak injects overlapping faults into a set of edge instances, each a separate process, and checks what callers
// and targets observe. All of its code is in test files:
//
//	go test ./internal/soak -run TestSoak -soak.seed 7 -soak.seconds 60 -v
//
// The faults and requests are derived from the seed. To reproduce a failure, run the test with the same flags. The timing of
// the processes is not deterministic, so it may take several runs.
package soak
