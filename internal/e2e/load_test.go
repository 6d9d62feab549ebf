package e2e

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/load"
	"github.com/basillink/basillink/internal/platform"
	"github.com/basillink/basillink/internal/standin"
	"github.com/basillink/basillink/internal/testwait"
	"github.com/basillink/basillink/operator"
)

// ranByToken asks a target process how often it ran each request.
func ranByToken(t *testing.T, address string) map[string]int {
	t.Helper()
	a := <-ask(address, "/executions")
	counts := map[string]int{}
	if err := json.Unmarshal([]byte(a.body), &counts); err != nil {
		t.Fatalf("%+v: %v", a, err)
	}
	return counts
}

// Guards against reservations that run twice, or that are lost although they were answered, while an instance stops
// under load: every request has an outcome, and what ran agrees with it.
func TestReservationsUnderLoadAcrossAStop(t *testing.T) {
	addresses := freeAddresses(t, 5)
	start(t, "platform "+addresses[0]+" i1="+addresses[3])
	start(t, "target "+addresses[1])
	instance := start(t, "daemon "+writeSettings(t, "i1", addresses[0], addresses[2:5]))
	publish(t, platform.NewClient(addresses[0]), operator.Service{
		Name: "flightdesk", Region: "tz-north", Zones: []string{"tz-north-a"}, SlotsPerTarget: 6, MaxInstances: 1,
		Classes: []operator.Class{{Name: "reservation", Priority: 9, TimeoutMS: 5000}},
		Targets: []operator.Target{{Address: addresses[1], Zone: "tz-north-a"}},
	})
	testwait.Until(t, "a ready instance", func() bool { return (<-ask(addresses[3], "/readyz")).status == 200 })

	plan := &load.Plan{
		URL: "http://" + addresses[2] + "/flightdesk/reservations", Method: "POST", Body: "channel=72",
		Header: map[string]string{standin.ServiceMSHeader: "10"}, IDHeader: standin.TokenHeader,
		Rate: 200, Arrival: load.Poisson, Duration: 3 * time.Second, Connections: 64, Timeout: 5 * time.Second, Seed: 11,
	}
	caller, closeCaller, err := load.NewCaller(plan)
	if err != nil {
		t.Fatal(err)
	}
	defer closeCaller()
	stop := time.AfterFunc(1500*time.Millisecond, func() { terminate(t, instance) })
	defer stop.Stop()
	report := load.Run(t.Context(), plan, caller, func(load.Totals) {})
	t.Logf("totals %+v, causes %v", report.Totals, report.Causes)
	if err := instance.Wait(); err != nil {
		t.Fatalf("exit: %v", err)
	}
	ran := ranByToken(t, addresses[1])
	for token, count := range ran {
		if count != 1 {
			t.Errorf("reservation %s ran %d times", token, count)
		}
	}
	// A request whose connection could not be opened was not sent. Any other failure leaves the outcome open.
	open := report.Failed - report.Causes["failed/client_connect"]
	if !report.Complete() || len(ran) < report.Answered || len(ran) > report.Answered+open {
		t.Errorf("%d reservations ran; totals %+v, causes %v", len(ran), report.Totals, report.Causes)
	}
	if report.Answered == 0 || report.Causes["failed/client_connect"] == 0 {
		t.Errorf("the stop did not fall into the run: %+v, causes %v", report.Totals, report.Causes)
	}
}
