package ingress

import (
	"testing"

	"github.com/basillink/basillink/internal/routes"
)

// Guards against splits whose choices are not counted, or routes without a split that are.
func TestSplitChoicesAreCounted(t *testing.T) {
	b := newTestbed(t, startEcho(t, "x"))
	config := newRoutesConfig("s")
	config.Services = append(config.Services, routes.Service{Name: "other"})
	config.Routes[0].Split = []routes.Share{{Service: "s", Weight: 1}, {Service: "other", Weight: 1}}
	table, err := routes.Build(config)
	if err != nil {
		t.Fatal(err)
	}
	view := *b.view.Load()
	view.Table = table
	b.view.Store(&view)
	caller := b.dial(t)
	for _, path := range []string{"/safe/1", "/safe/2", "/safe/3", "/safe/4", "/once/1"} {
		caller.exchange("GET", path, "r", "")
	}
	b.counter.mu.Lock()
	defer b.counter.mu.Unlock()
	if got := b.counter.chosen; len(got) != 2 || got["safe s"] != 2 || got["safe other"] != 2 {
		t.Errorf("choices: %v, want two of each service of the split", got)
	}
}
