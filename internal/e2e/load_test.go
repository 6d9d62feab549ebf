package e2e

import (
	"syscall"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/load"
	"github.com/basillink/basillink/internal/standin"
	"github.com/basillink/basillink/operator"
)

// Guards against reservations that run twice, or that were answered but did not run, when an instance stops under load. Every
// request must have an outcome, and the executions must agree with the outcomes.
func TestReservationsUnderLoadDuringStop(t *testing.T) {
	f := newTestFleet(t, 1)
	target := f.startTarget()
	f.startAll()
	service := fleetService("flightdesk", 6, target.Address())
	service.Classes = []operator.Class{{Name: "reservation", Priority: 9, TimeoutMS: 5000}}
	f.awaitRevision(f.publish(service), 0)
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
		t.Fatalf("the instance exited with %v", err)
	}
	executionsByToken := target.Executions()
	for token, count := range executionsByToken {
		if count != 1 {
			t.Errorf("reservation %s ran %d times", token, count)
		}
	}
	// A request whose connection could not be opened was not sent. After any other failure it may have run or not.
	uncertain := report.Failed - report.Causes["failed/client_connect"]
	if !report.Complete() || len(executionsByToken) < report.Answered || len(executionsByToken) > report.Answered+uncertain {
		t.Errorf("%d reservations ran; totals %+v, causes %v", len(executionsByToken), report.Totals, report.Causes)
	}
	if report.Answered == 0 || report.Causes["failed/client_connect"] == 0 {
		t.Errorf("the instance did not stop during the run: totals %+v, causes %v", report.Totals, report.Causes)
	}
}
