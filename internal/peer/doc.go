// Package peer connects the instances of a fleet. A SWIM-like gossip state machine
// maintains the membership and disseminates rumors. Its messages, pulls of the
// configuration and closing records are carried by net/rpc calls.
//
// The state machine is deterministic: time, randomness and input are passed in.
// It is owned by the control goroutine; network goroutines access it through
// Executor.
package peer
