package balancer

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// buildPolicies builds one policy per service, with the targets spread over the services.
func buildPolicies(b Builder, targets, services int) []Policy {
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

// serveRequest picks a target for one request and records a successful answer.
func serveRequest(p Policy, now time.Duration, random uint64) {
	target, ok := p.Pick(Request{Now: now, Random: random})
	if !ok {
		return
	}
	p.Started(target, now)
	p.Finished(target, Result{Now: now + time.Millisecond, Elapsed: time.Millisecond, Load: 3})
}

// Guards against allocations on the request path, with 4,600 targets in 130 services.
func TestPickDoesNotAllocate(t *testing.T) {
	for _, b := range Builders() {
		policies := buildPolicies(b, 4600, 130)
		now, random := time.Second, uint64(1)
		allocations := testing.AllocsPerRun(1000, func() {
			now += 50 * time.Microsecond
			p := policies[randomBelow(&random, len(policies))]
			serveRequest(p, now, splitmix64(&random))
			if target, ok := p.NextProbe(now, random); ok {
				p.Probed(target, ProbeResult{Now: now, InFlight: 2})
			}
		})
		if allocations != 0 {
			t.Errorf("%s: %v allocations per request, want 0", b.Name(), allocations)
		}
	}
}

// Guards against data races and lost in-flight counts when goroutines use a policy concurrently. Run with -race.
func TestConcurrentUse(t *testing.T) {
	for _, b := range Builders() {
		policy := buildPolicies(b, 20, 1)[0]
		var group sync.WaitGroup
		for worker := range 8 {
			group.Go(func() {
				random := uint64(worker)
				for i := range 2000 {
					now := time.Duration(i) * time.Millisecond
					serveRequest(policy, now, splitmix64(&random))
					if target, ok := policy.NextProbe(now, random); ok {
						policy.Probed(target, ProbeResult{Now: now, InFlight: i % 7})
					}
				}
			})
		}
		group.Wait()
		for i, s := range policy.(*samplingPolicy).targets {
			if inFlight, startTimes := s.inFlight.Load(), s.startTimeSum.Load(); inFlight != 0 || startTimes != 0 {
				t.Errorf("%s: target %d has %d requests in flight and a start time sum of %d, want 0", b.Name(), i, inFlight, startTimes)
			}
		}
	}
}

// BenchmarkChoice measures Pick alone, with growing numbers of targets and services.
func BenchmarkChoice(b *testing.B) {
	for _, size := range []struct{ targets, services int }{{10, 1}, {400, 1}, {100, 3}, {1000, 28}, {4600, 130}} {
		for _, builder := range Builders() {
			b.Run(fmt.Sprintf("%s/targets=%d", builder.Name(), size.targets), func(b *testing.B) {
				policies := buildPolicies(builder, size.targets, size.services)
				random := uint64(1)
				for _, p := range policies {
					for i := range 500 {
						serveRequest(p, time.Duration(i)*time.Microsecond, splitmix64(&random))
					}
				}
				b.ReportAllocs()
				for b.Loop() {
					p := policies[randomBelow(&random, len(policies))]
					p.Pick(Request{Now: time.Millisecond, Random: splitmix64(&random)})
				}
			})
		}
	}
}
