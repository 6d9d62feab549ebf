package gateway

import (
	"bytes"
	"net/textproto"

	"github.com/basillink/basillink/internal/header"
)

// reservedPrefix is the prefix of the headers of the protocol between callers, instances and targets. Instances set these
// headers and never forward them.
const reservedPrefix = "Basillink-"

// targetPrefix is the prefix of headers that targets send to instances. Only those in targetSignals are not forwarded.
const targetPrefix = "Target-"

var targetSignals = map[string]bool{
	header.TargetNotRun: true, header.TargetLoad: true, header.TargetIncarnation: true, header.TargetDraining: true,
}

// neverForwarded holds the canonical names of headers that concern one connection only or are set anew for each message.
var neverForwarded = func() map[string]bool {
	names := map[string]bool{"Content-Length": true, "Host": true, "Expect": true}
	for _, name := range header.HopByHop() {
		names[textproto.CanonicalMIMEHeaderKey(name)] = true
	}
	return names
}()

// forwardedToTarget reports whether a request header is forwarded to the target. The key must be in canonical form.
func forwardedToTarget(key []byte) bool {
	return !neverForwarded[string(key)] && !bytes.HasPrefix(key, []byte(reservedPrefix))
}

// forwardedToCaller reports whether an answer header is forwarded to the caller. The key must be in canonical form.
func forwardedToCaller(key []byte) bool {
	if neverForwarded[string(key)] || bytes.HasPrefix(key, []byte(reservedPrefix)) {
		return false
	}
	return !bytes.HasPrefix(key, []byte(targetPrefix)) || !targetSignals[string(key)]
}
