package settings

import "testing"

// Guards against defaults that together exceed the memory of the process, and against a configured limit that is ignored.
func TestMemoryIsDivided(t *testing.T) {
	const idleConnectionBytes = 17 << 10
	// overshootPercent is how much of the memory besides the program is left for what is allocated while the runtime collects garbage.
	const overshootPercent = 8
	for _, limitMB := range []int{64, 96, 136, 184, 284, 1024} {
		m := Memory{LimitMB: limitMB}
		connections := Listen{}.ConnectionLimit(m)
		if connections < 1 || connections > limitMB*connectionsPerMB {
			t.Errorf("%d MB: %d connections", limitMB, connections)
		}
		used := m.RequestBytes() + int64(connections)*idleConnectionBytes
		overshoot := (int64(limitMB)*bytesPerMB - programBytes) * overshootPercent / 100
		if used >= m.RuntimeBytes() || m.RuntimeBytes()+programBytes+overshoot > int64(limitMB)*bytesPerMB {
			t.Errorf("%d MB: requests and connections take %d bytes, the runtime %d", limitMB, used, m.RuntimeBytes())
		}
	}
	if got := (EdgeListen{MaxConnections: 7}).ConnectionLimit(EdgeMemory{LimitMB: 136}); got != 7 {
		t.Errorf("%d connections, want the configured 7", got)
	}
}
