// Command today is an example of the operator library. It prints the routing
// intent of two services.
package main

import (
	"fmt"
	"os"

	"github.com/basillink/basillink/operator"
)

func main() {
	intent := operator.Intent{Services: []operator.Service{flightdesk(), bancoApp()}}
	if err := intent.Print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func flightdesk() operator.Service {
	zones := []string{"tz-north-a", "tz-north-b", "tz-north-c", "tz-north-d"}
	return operator.Service{
		Name:           "flightdesk",
		Region:         "tz-north",
		Zones:          zones,
		SlotsPerTarget: 6,
		Measuring:      operator.Measuring{ProbesPerSecond: 400, BytesPerSecond: 160_000, ProbesPerRequest: 0.25},
		Classes: []operator.Class{
			{Name: "reservation", Methods: []string{"POST"}, PathPrefix: "/reservations", Priority: 9, TimeoutMS: 2000},
			{Name: "lookup", Methods: []string{"GET"}, Repeatable: true, Priority: 5, TimeoutMS: 1000},
		},
		Targets: targets(zones, 20, 9100),
	}
}

func bancoApp() operator.Service {
	zones := []string{"padova-a", "verona-b", "milano-c"}
	return operator.Service{
		Name:           "banco-app",
		Region:         "nord-italia",
		Zones:          zones,
		SlotsPerTarget: 4,
		Measuring:      operator.Measuring{ProbesPerSecond: 80, BytesPerSecond: 32_000, ProbesPerRequest: 0.1},
		Classes: []operator.Class{
			{Name: "booking", Methods: []string{"POST"}, PathPrefix: "/bookings", Priority: 9, TimeoutMS: 2000},
			{Name: "summary", Methods: []string{"GET"}, PathPrefix: "/summaries", Repeatable: true, TimeoutMS: 3_600_000, Long: true},
			{Name: "stock", Methods: []string{"GET"}, Repeatable: true, Priority: 5, TimeoutMS: 1000},
		},
		Targets: targets(zones, 20, 9200),
	}
}

// targets returns count targets with consecutive loopback ports, distributed over the zones.
func targets(zones []string, count, firstPort int) []operator.Target {
	list := make([]operator.Target, count)
	for i := range list {
		list[i] = operator.Target{
			Address: fmt.Sprintf("127.0.0.1:%d", firstPort+i),
			Zone:    zones[i%len(zones)],
		}
	}
	return list
}
