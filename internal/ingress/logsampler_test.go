package ingress

import (
	"math/rand/v2"
	"testing"
)

// Guards against instances that all begin their count at the same value, so that none of a large fleet that answers a few requests each
// logs any, and against a selection of more or fewer answers than set.
func TestSampledAnswersOfManyInstances(t *testing.T) {
	const instances, answers, oneIn = 6400, 2, 64
	random := rand.New(rand.NewPCG(1, 1))
	selected := 0
	for range instances {
		sampler := newLogSampler(oneIn, random)
		for range answers {
			if sampler.sample() {
				selected++
			}
		}
	}
	if want := instances * answers / oneIn; selected < want/2 || selected > 2*want {
		t.Errorf("%d of %d answers were selected, want about %d", selected, instances*answers, want)
	}
}

// Guards against a sampler that selects no or too many answers of one instance, and against one that does not stop.
func TestSampledAnswersOfOneInstance(t *testing.T) {
	sampler := newLogSampler(64, rand.New(rand.NewPCG(1, 1)))
	selected := 0
	for range 640 {
		if sampler.sample() {
			selected++
		}
	}
	if selected != 10 {
		t.Errorf("%d of 640 answers were selected, want 10", selected)
	}
	sampler.oneIn.Store(0)
	for range 200 {
		if sampler.sample() {
			t.Fatal("an answer was selected with 0")
		}
	}
}
