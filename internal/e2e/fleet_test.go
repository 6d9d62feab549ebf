package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/admin"
	"github.com/basillink/basillink/internal/logservice"
	"github.com/basillink/basillink/internal/standin"
	"github.com/basillink/basillink/internal/standin/standintest"
	"github.com/basillink/basillink/internal/testwait"
	"github.com/basillink/basillink/operator"
)

// testFleet is a platform in the process of the test and a set of instances that run as separate processes.
type testFleet struct {
	t    testing.TB
	log  *standin.Log
	list *standin.InstanceList
	// address serves the log and the list; logDownAddress serves the list and a log that is always down.
	address, logDownAddress string
	instances               []*testInstance
	// extraSettings is TOML text that is inserted into the settings of each instance.
	extraSettings string
}

type testInstance struct {
	id, caller, admin, peer, file string
	command                       *exec.Cmd
}

func newTestFleet(t testing.TB, size int) *testFleet {
	t.Helper()
	addresses := freeAddresses(t, 2+3*size)
	f := &testFleet{t: t, log: standin.NewLog(), list: standin.NewInstanceList(0), address: addresses[0], logDownAddress: addresses[1]}
	downLog := standin.NewLog()
	downLog.SetFaults(standin.LogFaults{Down: true})
	f.servePlatform(f.address, f.log)
	f.servePlatform(f.logDownAddress, downLog)
	var listed []logservice.ListedInstance
	for i := range size {
		listen := addresses[2+3*i:]
		instance := &testInstance{id: fmt.Sprintf("i%d", i), caller: listen[0], admin: listen[1], peer: listen[2]}
		f.instances = append(f.instances, instance)
		listed = append(listed, logservice.ListedInstance{
			ID: instance.id, Zone: "tz-north-a", PeerAddress: instance.peer, AdminAddress: instance.admin, State: logservice.ListedLive,
		})
	}
	f.list.Set(listed)
	return f
}

func (f *testFleet) servePlatform(address string, log *standin.Log) {
	server := standin.NewPlatformServer(address, log, f.list)
	if err := server.Listen(); err != nil {
		f.t.Fatal(err)
	}
	go func() { _ = server.Run() }()
	f.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = server.Shutdown(ctx)
	})
}

// startInstance starts the process of an instance. platformAddress is f.address or f.logDownAddress.
func (f *testFleet) startInstance(i int, platformAddress string) {
	f.t.Helper()
	instance := f.instances[i]
	instance.file = writeSettings(f.t, instance.id, platformAddress, []string{instance.caller, instance.admin, instance.peer})
	replaceInFile(f.t, instance.file, "[peer]", "[log]\nlevel = \"error\"\n"+f.extraSettings+"\n[peer]")
	instance.command = startProcess(f.t, "daemon "+instance.file)
}

func (f *testFleet) startAll() {
	f.t.Helper()
	for i := range f.instances {
		f.startInstance(i, f.address)
	}
}

func (f *testFleet) signal(i int, s syscall.Signal) {
	f.t.Helper()
	if err := f.instances[i].command.Process.Signal(s); err != nil {
		f.t.Fatal(err)
	}
}

// stop sends a terminating signal to an instance and waits until it has exited.
func (f *testFleet) stop(i int, s syscall.Signal) {
	f.t.Helper()
	f.signal(i, s)
	_ = f.instances[i].command.Wait()
}

func (f *testFleet) status(i int) *admin.Status {
	response, err := statusClient.Get("http://" + f.instances[i].admin + "/status")
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	var status admin.Status
	if json.NewDecoder(response.Body).Decode(&status) != nil {
		return nil
	}
	return &status
}

var statusClient = &http.Client{Timeout: time.Second}

// isReady reports whether an instance answers that it is ready.
func (f *testFleet) isReady(i int) bool {
	status := f.status(i)
	return status != nil && status.Ready
}

// hasRevision reports whether the revision or a later one is in force on an instance.
func (f *testFleet) hasRevision(i int, revision logservice.Offset) bool {
	status := f.status(i)
	return status != nil && status.Revision >= revision
}

// awaitRevision waits until the revision or a later one is in force on each of the instances.
func (f *testFleet) awaitRevision(revision logservice.Offset, instances ...int) {
	f.t.Helper()
	for _, i := range instances {
		testwait.Until(f.t, fmt.Sprintf("revision %d on instance %d", revision, i), func() bool { return f.hasRevision(i, revision) })
	}
}

func (f *testFleet) allInstances() []int {
	all := make([]int, len(f.instances))
	for i := range all {
		all[i] = i
	}
	return all
}

// fleetService returns a service with the given targets.
func fleetService(name string, slots int, targets ...string) operator.Service {
	s := operator.Service{
		Name:           name,
		Region:         "tz-north",
		Zones:          []string{"tz-north-a"},
		SlotsPerTarget: slots,
		Classes:        []operator.Class{{Name: "lookup", Methods: []string{"GET"}, Repeatable: true}},
	}
	for _, address := range targets {
		s.Targets = append(s.Targets, operator.Target{Address: address, Zone: "tz-north-a"})
	}
	s.Provision()
	return s
}

// publish publishes a service and returns the revision of the change.
func (f *testFleet) publish(s operator.Service) logservice.Offset {
	f.t.Helper()
	return publish(f.t, f.log, s)
}

// startTarget starts a target with 6 slots in the process of the test.
func (f *testFleet) startTarget() *standin.Target {
	f.t.Helper()
	return standintest.StartTarget(f.t, "127.0.0.1:0", 6)
}

// lookup sends a lookup through an instance and returns the status and the trimmed body, or 0 and the error text.
func (f *testFleet) lookup(i int, token string) (int, string) {
	status, body, err := get(f.instances[i].caller, "/flightdesk/slots", token)
	if err != nil {
		return 0, err.Error()
	}
	return status, strings.TrimSpace(body)
}
