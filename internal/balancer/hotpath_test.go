package balancer

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// fleet builds one policy for each service, with the targets spread over the services.
func fleet(b Builder, targets, services int) []Policy {
	policies := make([]Policy, services)
	for s := range policies {
		config := Config{Service: fmt.Sprint("service-", s), Instance: 7, Instances: 20}
		for i := s; i < targets; i += services {
			config.Targets = append(config.Targets, Target{Address: fmt.Sprintf("10.0.%d.%d:80", s, i), Slots: 6, SameZone: i%3 == 0})
		}
		policies[s] = b.Build(config, nil)
	}
	return policies
}

// serve runs one request with an answer through a policy.
func serve(p Policy, now time.Duration, random uint64) {
	target, ok := p.Pick(Request{Now: now, Random: random})
	if !ok {
		return
	}
	p.Started(target, now)
	p.Finished(target, Result{Now: now + time.Millisecond, Elapsed: time.Millisecond, Load: 3})
}

// Guards the stated bound: a choice allocates nothing, with 4,600 targets in 130 services.
func TestChoiceAllocatesNothing(t *testing.T) {
	for _, b := range Builders() {
		policies := fleet(b, 4600, 130)
		now, random := time.Second, uint64(1)
		allocations := testing.AllocsPerRun(1000, func() {
			now += 50 * time.Microsecond
			p := policies[below(&random, len(policies))]
			serve(p, now, mix(&random))
			if target, ok := p.NextProbe(now, random); ok {
				p.Probed(target, ProbeResult{Now: now, InFlight: 2})
			}
		})
		if allocations != 0 {
			t.Errorf("%s: %v allocations", b.Name(), allocations)
		}
	}
}

// Guards against races and lost counts between traffic goroutines. Run with -race.
func TestPoliciesServeConcurrently(t *testing.T) {
	for _, b := range Builders() {
		policy := fleet(b, 20, 1)[0]
		var group sync.WaitGroup
		for worker := range 8 {
			group.Go(func() {
				random := uint64(worker)
				for i := range 2000 {
					now := time.Duration(i) * time.Millisecond
					serve(policy, now, mix(&random))
					if target, ok := policy.NextProbe(now, random); ok {
						policy.Probed(target, ProbeResult{Now: now, InFlight: i % 7})
					}
				}
			})
		}
		group.Wait()
		for i, c := range policy.(*engine).cells {
			if own, starts := c.own.Load(), c.starts.Load(); own != 0 || starts != 0 {
				t.Errorf("%s: target %d is left with %d in flight and a start sum of %d", b.Name(), i, own, starts)
			}
		}
	}
}

// BenchmarkChoice measures a choice alone while unrelated services grow.
func BenchmarkChoice(b *testing.B) {
	for _, size := range []struct{ targets, services int }{{10, 1}, {400, 1}, {100, 3}, {1000, 28}, {4600, 130}} {
		for _, builder := range Builders() {
			b.Run(fmt.Sprintf("%s/targets=%d", builder.Name(), size.targets), func(b *testing.B) {
				policies := fleet(builder, size.targets, size.services)
				random := uint64(1)
				for _, p := range policies {
					for i := range 500 {
						serve(p, time.Duration(i)*time.Microsecond, mix(&random))
					}
				}
				b.ReportAllocs()
				for b.Loop() {
					p := policies[below(&random, len(policies))]
					p.Pick(Request{Now: time.Millisecond, Random: mix(&random)})
				}
			})
		}
	}
}
