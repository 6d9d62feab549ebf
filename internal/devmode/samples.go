package devmode

import (
	"time"

	"github.com/basillink/basillink/internal/standin"
	"github.com/basillink/basillink/operator"
)

// sample is a service with one target in each of its availability zones.
type sample struct {
	service     operator.Service
	serviceTime time.Duration // of each request
}

var (
	tzNorthZones    = []string{"tz-north-a", "tz-north-b", "tz-north-c", "tz-north-d"}
	nordItaliaZones = []string{"padova-a", "verona-b", "milano-c"}
)

func samples() []sample {
	return []sample{
		{flightdesk(), 2 * time.Millisecond},
		{airlog(), 20 * time.Millisecond},
		{bancoApp(), 3 * time.Millisecond},
		{volontariReport(), 2 * time.Second},
	}
}

func flightdesk() operator.Service {
	return operator.Service{
		Name: "flightdesk", Region: "tz-north", Zones: tzNorthZones, SlotsPerTarget: 6, MaxInstances: 1,
		Measuring: operator.Measuring{ProbesPerSecond: 40, BytesPerSecond: 16_000, ProbesPerRequest: 0.25},
		Classes: []operator.Class{
			{Name: "reservation", Methods: []string{"POST"}, PathPrefix: "/reservations", Priority: 9, TimeoutMS: 2000},
			{Name: "lookup", Methods: []string{"GET"}, Repeatable: true, Priority: 5, TimeoutMS: 1000},
		},
	}
}

func airlog() operator.Service {
	return operator.Service{
		Name: "airlog", Region: "tz-north", Zones: tzNorthZones, SlotsPerTarget: 6, MaxInstances: 1,
		Measuring: operator.Measuring{ProbesPerSecond: 10, BytesPerSecond: 4_000, ProbesPerRequest: 0.1},
		Classes: []operator.Class{
			{Name: "reload", Methods: []string{"GET"}, Repeatable: true, Priority: 3, TimeoutMS: 10_000},
		},
	}
}

func bancoApp() operator.Service {
	return operator.Service{
		Name: "banco-app", Region: "nord-italia", Zones: nordItaliaZones, SlotsPerTarget: 4, MaxInstances: 1,
		Measuring: operator.Measuring{ProbesPerSecond: 8, BytesPerSecond: 3_200, ProbesPerRequest: 0.1},
		Classes: []operator.Class{
			{Name: "booking", Methods: []string{"POST"}, PathPrefix: "/bookings", Priority: 9, TimeoutMS: 2000},
			{Name: "stock", Methods: []string{"GET"}, Repeatable: true, Priority: 5, TimeoutMS: 1000},
		},
	}
}

func volontariReport() operator.Service {
	return operator.Service{
		Name: "volontari-report", Region: "nord-italia", Zones: nordItaliaZones, SlotsPerTarget: 4, MaxInstances: 1,
		Measuring: operator.Measuring{ProbesPerSecond: 2, BytesPerSecond: 800, ProbesPerRequest: 0.1},
		Classes: []operator.Class{
			{Name: "summary", Methods: []string{"GET"}, PathPrefix: "/summaries", Repeatable: true, TimeoutMS: 3_600_000, Long: true},
		},
	}
}

// withTargets returns the service with the targets distributed over its availability zones and with defaults set.
func (s sample) withTargets(targets []*standin.Target) operator.Service {
	service := s.service
	for i, target := range targets {
		service.Targets = append(service.Targets, operator.Target{
			Address: target.Address(),
			Zone:    service.Zones[i%len(service.Zones)],
		})
	}
	service.Provision()
	return service
}
