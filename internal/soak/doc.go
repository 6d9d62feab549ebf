// Package soak plays series of overlapping faults on edge instances that run as processes of their own, and checks what
// callers and servers see. All of it is in test files:
//
//	go test ./internal/soak -run TestSoak -soak.seed 7 -soak.seconds 60 -v
//
// Everything is drawn from the seed. A seed that failed is played again with the same flags; the processes themselves are
// not repeatable, so that it may take several plays.
package soak
