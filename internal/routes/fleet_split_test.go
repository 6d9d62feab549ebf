package routes

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// What the platform tolerates: of splitDutyRequests or more, a service gets its share within splitDutyDeviation, and of
// splitRuleRequests or more within splitRuleDeviation.
const (
	splitDutyRequests  = 300
	splitDutyDeviation = 0.1
	splitRuleRequests  = 200
	splitRuleDeviation = 0.2
)

// splitConfig returns a configuration whose only route, for all paths of host h, is split by weight over the services s0, s1
// and so on.
func splitConfig(version uint64, weights ...int) *Config {
	c := &Config{Version: version, Routes: []Route{{Name: "r", Host: "h", PathPrefix: "/"}}}
	for i, weight := range weights {
		name := fmt.Sprintf("s%d", i)
		c.Services = append(c.Services, Service{Name: name})
		c.Routes[0].Split = append(c.Routes[0].Split, Share{name, weight})
	}
	return c
}

// splitFleet is a number of instances that serve one split.
type splitFleet struct {
	t      *testing.T
	tables []*Table
	random *rand.Rand
}

func newSplitFleet(t *testing.T, size int, seed uint64) *splitFleet {
	return &splitFleet{t: t, tables: make([]*Table, size), random: rand.New(rand.NewPCG(seed, 0))}
}

// apply makes all instances replace their table.
func (f *splitFleet) apply(c *Config) {
	f.t.Helper()
	for i := range f.tables {
		f.replace(i, c)
	}
}

// replace makes an instance replace its table.
func (f *splitFleet) replace(i int, c *Config) {
	f.t.Helper()
	table, err := Build(c, f.tables[i], f.random)
	if err != nil {
		f.t.Fatal(err)
	}
	f.tables[i] = table
}

// restart makes an instance forget its table and build it anew.
func (f *splitFleet) restart(i int, c *Config) {
	f.t.Helper()
	f.tables[i] = nil
	f.replace(i, c)
}

// request sends a request to one of the first instances and returns the chosen service.
func (f *splitFleet) request(instances int) string {
	return f.tables[f.random.IntN(instances)].Match("h", "/").NextService()
}

// splitRun counts the choices of consecutive requests for which the same weights hold.
type splitRun struct {
	counts   map[string]int
	requests int
}

func (r *splitRun) add(service string) {
	if r.counts == nil {
		r.counts = map[string]int{}
	}
	r.counts[service]++
	r.requests++
}

// check verifies that the run deviates from the weights by no more than what the platform tolerates.
func (r *splitRun) check(t *testing.T, name string, weights []int) {
	t.Helper()
	bound := math.Inf(1)
	if r.requests >= splitDutyRequests {
		bound = splitDutyDeviation
	} else if r.requests >= splitRuleRequests {
		bound = splitRuleDeviation
	}
	total := 0
	for _, weight := range weights {
		total += weight
	}
	for i, weight := range weights {
		want := float64(weight) / float64(total)
		if got := float64(r.counts[fmt.Sprintf("s%d", i)]) / float64(r.requests); math.Abs(got-want) > bound {
			t.Errorf("%s, weights %v: service %d got %.3f of %d requests, want %.3f within %.1f", name, weights, i, got, r.requests, want, bound)
		}
	}
}

var (
	splitFleetSizes   = []int{1, 3, 30, 110, 147, 472}
	splitFleetWeights = [][]int{{50, 50}, {25, 75}, {75, 25}, {20, 80}, {90, 10}, {1, 99}, {99, 1}, {1, 1}, {3, 5}, {700, 200, 100}, {1, 1, 1}, {0, 4}}
)

// Guards against a fleet that deviates from the weights of a split because the instances begin with the same service: after a start,
// each of many instances serves only a few requests of the route.
func TestFleetKeepsWeightsAfterStart(t *testing.T) {
	for _, size := range splitFleetSizes {
		for _, weights := range splitFleetWeights {
			for _, requests := range []int{splitRuleRequests, splitDutyRequests, 3 * size, 30 * size} {
				f := newSplitFleet(t, size, uint64(requests))
				f.apply(splitConfig(1, weights...))
				var run splitRun
				for range requests {
					run.add(f.request(size))
				}
				run.check(t, fmt.Sprintf("%d instances", size), weights)
			}
		}
	}
}

// Guards against a fleet that deviates from the weights of a split while versions follow each other that leave the split as it is.
func TestFleetKeepsWeightsOverVersions(t *testing.T) {
	for _, size := range splitFleetSizes {
		for _, weights := range splitFleetWeights {
			for _, perVersion := range []int{1, 10, 60, 300} {
				f := newSplitFleet(t, size, uint64(perVersion))
				var whole splitRun
				for version := range uint64(max(10, splitDutyRequests/perVersion)) {
					f.apply(splitConfig(version+1, weights...))
					var run splitRun
					for range perVersion {
						service := f.request(size)
						run.add(service)
						whole.add(service)
					}
					run.check(t, fmt.Sprintf("%d instances, version %d", size, version+1), weights)
				}
				whole.check(t, fmt.Sprintf("%d instances, versions of %d requests", size, perVersion), weights)
			}
		}
	}
}

// Guards against a fleet that deviates from the weights of a split because an instance restarts after each request.
func TestFleetKeepsWeightsOverRestarts(t *testing.T) {
	for _, size := range splitFleetSizes {
		for _, weights := range splitFleetWeights {
			f := newSplitFleet(t, size, uint64(size))
			c := splitConfig(1, weights...)
			f.apply(c)
			var run splitRun
			for range splitDutyRequests {
				run.add(f.request(size))
				f.restart(f.random.IntN(size), c)
			}
			run.check(t, fmt.Sprintf("%d instances that restart", size), weights)
		}
	}
}

// Guards against a fleet that deviates from the weights of a split of which only some instances get requests.
func TestFleetKeepsWeightsOnSomeInstances(t *testing.T) {
	for _, size := range splitFleetSizes {
		for _, weights := range splitFleetWeights {
			f := newSplitFleet(t, size, uint64(size))
			f.apply(splitConfig(1, weights...))
			var run splitRun
			for range splitDutyRequests {
				run.add(f.request((size + 2) / 3))
			}
			run.check(t, fmt.Sprintf("a third of %d instances", size), weights)
		}
	}
}

// Guards against a change of the weights after which the fleet deviates from the new ones.
func TestFleetFollowsChangedWeights(t *testing.T) {
	for _, size := range splitFleetSizes {
		f := newSplitFleet(t, size, uint64(size))
		for version, weights := range splitFleetWeights {
			f.apply(splitConfig(uint64(version+1), weights...))
			var run splitRun
			for range splitDutyRequests {
				run.add(f.request(size))
			}
			run.check(t, fmt.Sprintf("%d instances, version %d", size, version+1), weights)
		}
	}
}
