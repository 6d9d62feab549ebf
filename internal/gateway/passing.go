package gateway

import (
	"bytes"
	"net/textproto"

	"github.com/basillink/basillink/internal/header"
)

// reservedPrefix marks the headers of the protocol between callers, instances and targets. They are set by an instance
// and never passed on from one side to the other.
const reservedPrefix = "Basillink-"

// signalPrefix marks what targets tell an instance.
const signalPrefix = "Target-"

var targetSignals = map[string]bool{
	header.TargetNotRun: true, header.TargetLoad: true, header.TargetIncarnation: true, header.TargetDraining: true,
}

var notPassedOn = func() map[string]bool {
	names := map[string]bool{"Content-Length": true, "Host": true, "Expect": true}
	for _, name := range header.HopByHop() {
		names[textproto.CanonicalMIMEHeaderKey(name)] = true
	}
	return names
}()

// passesToTarget reports whether a header of a caller, in canonical form, reaches the target.
func passesToTarget(key []byte) bool {
	return !notPassedOn[string(key)] && !bytes.HasPrefix(key, []byte(reservedPrefix))
}

// passesToCaller reports whether a header of a target, in canonical form, reaches the caller.
func passesToCaller(key []byte) bool {
	if notPassedOn[string(key)] || bytes.HasPrefix(key, []byte(reservedPrefix)) {
		return false
	}
	return !bytes.HasPrefix(key, []byte(signalPrefix)) || !targetSignals[string(key)]
}
