package e2e

import (
	"syscall"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/load"
	"github.com/basillink/basillink/internal/standin"
	"github.com/basillink/basillink/operator"
)

// Guards against reservations that run twice, or that are lost although they were answered, while an instance stops
// under load: every request has an outcome, and what ran agrees with it.
func TestReservationsUnderLoadAcrossAStop(t *testing.T) {
	f := newTestFleet(t, 1)
	target := f.target()
	f.startAll()
	service := fleetService("flightdesk", 6, target.Address())
	service.Classes = []operator.Class{{Name: "reservation", Priority: 9, TimeoutMS: 5000}}
	f.allAt(f.publish(service), 0)
	instance := f.instances[0]

	plan := &load.Plan{
		URL: "http://" + instance.caller + "/flightdesk/reservations", Method: "POST", Body: "channel=72",
		Header: map[string]string{standin.ServiceMSHeader: "10"}, IDHeader: standin.TokenHeader,
		Rate: 200, Arrival: load.Poisson, Duration: 3 * time.Second, Connections: 64, Timeout: 5 * time.Second, Seed: 11,
	}
	caller, closeCaller, err := load.NewCaller(plan)
	if err != nil {
		t.Fatal(err)
	}
	defer closeCaller()
	stop := time.AfterFunc(1500*time.Millisecond, func() { f.signal(0, syscall.SIGTERM) })
	defer stop.Stop()
	report := load.Run(t.Context(), plan, caller, func(load.Totals) {})
	t.Logf("totals %+v, causes %v", report.Totals, report.Causes)
	if err := instance.command.Wait(); err != nil {
		t.Fatalf("exit: %v", err)
	}
	ran := target.Executions()
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
