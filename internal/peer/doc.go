// Package peer connects the instances of a fleet. A gossip state machine keeps
// the membership and spreads rumors; calls over net/rpc carry its messages,
// configuration and closing records.
//
// The state machine is pure: time, randomness and input are arguments. It is
// owned by the control goroutine; network goroutines reach it through Owner.
package peer
