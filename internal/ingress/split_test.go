package ingress

import (
	"slices"
	"testing"

	"github.com/basillink/basillink/internal/routes"
)

// Guards against splits whose choices are not counted, or routes without a split that are.
func TestSplitChoicesAreCounted(t *testing.T) {
	b := newTestbed(t, startEcho(t, "x"))
	config := newRoutesConfig("s")
	config.Services = append(config.Services, routes.Service{Name: "other"})
	config.Routes[0].Split = []routes.Share{{Service: "s", Weight: 1}, {Service: "other", Weight: 1}}
	b.setConfig(t, config)
	caller := b.dial(t)
	for _, path := range []string{"/safe/1", "/safe/2", "/safe/3", "/safe/4", "/once/1"} {
		caller.exchange("GET", path, "r", "")
	}
	choices := b.view.Load().Table.Splits()[0].Choices()
	b.counter.mu.Lock()
	defer b.counter.mu.Unlock()
	counted := []int64{int64(b.counter.chosen["safe s"]), int64(b.counter.chosen["safe other"])}
	if !slices.Equal(counted, choices) || choices[0]+choices[1] != 4 || b.counter.chosen["once s"] != 0 {
		t.Errorf("counted %v, chosen %v of 4 requests", b.counter.chosen, choices)
	}
}
