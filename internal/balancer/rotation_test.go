package balancer

import (
	"fmt"
	"slices"
	"testing"
)

// Guards against a rotation that begins anew with each revision, so that with few requests between two revisions only the first targets
// get any.
func TestRotationContinuesOverRevisions(t *testing.T) {
	const targets, revisions = 10, 50
	config := Config{Service: "s", Instances: 1}
	for i := range targets {
		config.Targets = append(config.Targets, Target{Address: fmt.Sprintf("10.0.0.%d:80", i), SameZone: true, Slots: 4})
	}
	builder, ok := Find(NameRoundRobin)
	if !ok {
		t.Fatal("no builder")
	}
	counts := make([]int, targets)
	var policy Policy
	for range revisions {
		policy = builder.Build(config, policy)
		target, ok := policy.Pick(Request{})
		if !ok {
			t.Fatal("no target")
		}
		counts[target]++
	}
	if slices.Min(counts) != revisions/targets || slices.Max(counts) != revisions/targets {
		t.Errorf("%v requests of one in each of %d revisions, want %d for each target", counts, revisions, revisions/targets)
	}
}
