package fleet

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"math"
	"slices"
	"testing"

	"github.com/basillink/basillink/internal/routes"
)

// splitConfig returns a configuration with one split, of the route of host h.
func splitConfig(version uint64, weights ...int) *routes.Config {
	config := &routes.Config{Version: version, Routes: []routes.Route{{Name: "uploads", Host: "h", PathPrefix: "/"}}}
	for i, weight := range weights {
		name := string(rune('a' + i))
		config.Services = append(config.Services, routes.Service{Name: name})
		config.Routes[0].Split = append(config.Routes[0].Split, routes.Share{Service: name, Weight: weight})
	}
	return config
}

// Guards against logs from which the share of a split in a version of the configuration cannot be calculated.
func TestSplitRequestsAreLogged(t *testing.T) {
	n := newQuietNode(t, newMember("a1", "a"))
	n.started = testStart
	var log bytes.Buffer
	n.applyConfig(splitConfig(3, 60, 40), "store", testStart)
	n.Log = slog.New(slog.NewJSONHandler(&log, nil))
	for range 10 {
		n.table.Match("h", "/").NextService()
	}
	n.applyConfig(splitConfig(4, 1, 1), "store", testStart)
	var line struct {
		Msg, Route string
		Version    uint64
		Services   []string
		Weights    []int
		Requests   []int64
	}
	if err := json.NewDecoder(&log).Decode(&line); err != nil {
		t.Fatal(err)
	}
	if line.Msg != "Requests of a split." || line.Route != "uploads" || line.Version != 3 ||
		!slices.Equal(line.Services, []string{"a", "b"}) || !slices.Equal(line.Weights, []int{60, 40}) {
		t.Errorf("%+v", line)
	}
	if len(line.Requests) != 2 || line.Requests[0]+line.Requests[1] != 10 {
		t.Errorf("requests %v, want 10 in all", line.Requests)
	}
}

// Guards against a node that begins each version of the configuration with the same service of a split, so that services deviate from
// their weights while versions follow each other.
func TestSplitContinuesOverVersions(t *testing.T) {
	n := newQuietNode(t, newMember("a1", "a"))
	n.started = testStart
	const versions, deviation = 300, 0.1
	first := 0
	for version := range uint64(versions) {
		n.applyConfig(splitConfig(version+1, 50, 50), "store", testStart)
		if n.table.Match("h", "/").NextService() == "a" {
			first++
		}
	}
	if share := float64(first) / versions; math.Abs(share-0.5) > deviation {
		t.Errorf("the first service got %.3f of one request in each of %d versions, want 0.5 within %.1f", share, versions, deviation)
	}
}
