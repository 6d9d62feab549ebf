package transport

import (
	"testing"
	"time"
)

// Guards against results about one network path that are applied to connections on another one.
func TestPathHealth(t *testing.T) {
	start := time.Now()
	atMS := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	e := exchangeInfo{connOpenedAt: atMS(0), lastAlive: atMS(1000), startedAt: atMS(2000)}
	cases := []struct {
		name          string
		record        func(h *pathHealth)
		alive, broken bool
	}{
		{"nothing known", func(*pathHealth) {}, false, false},
		{"connection opened before the lastAlive time answered", func(h *pathHealth) { h.recordAlive(atMS(500), atMS(3000)) }, true, false},
		{"connection opened after the lastAlive time answered", func(h *pathHealth) { h.recordAlive(atMS(1500), atMS(3000)) }, false, false},
		{"connection answered too long ago", func(h *pathHealth) { h.recordAlive(atMS(500), atMS(2100)) }, false, false},
		{"connection answered before the request started", func(h *pathHealth) { h.recordAlive(atMS(500), atMS(1900)) }, false, false},
		{"connection of the same age was silent", func(h *pathHealth) { h.recordSilent(atMS(0), atMS(1500), atMS(3000)) }, false, true},
		{"older connection was silent", func(h *pathHealth) { h.recordSilent(atMS(-500), atMS(1500), atMS(3000)) }, false, true},
		{"silent before the connection was opened", func(h *pathHealth) { h.recordSilent(atMS(-500), atMS(-100), atMS(3000)) }, false, false},
		{"silent before the request started", func(h *pathHealth) { h.recordSilent(atMS(0), atMS(1500), atMS(1900)) }, false, false},
		{"silent, then a younger connection answered", func(h *pathHealth) {
			h.recordSilent(atMS(0), atMS(1500), atMS(2900))
			h.recordAlive(atMS(1200), atMS(3000))
		}, false, true},
		{"silent, then an older connection answered", func(h *pathHealth) {
			h.recordSilent(atMS(500), atMS(1500), atMS(2900))
			h.recordAlive(atMS(400), atMS(3000))
		}, true, false},
	}
	for _, c := range cases {
		var h pathHealth
		c.record(&h)
		if got := h.provenAlive(e, atMS(3200), time.Second); got != c.alive {
			t.Errorf("%s: alive %v", c.name, got)
		}
		if got := h.provenBroken(e); got != c.broken {
			t.Errorf("%s: broken %v", c.name, got)
		}
	}
}
