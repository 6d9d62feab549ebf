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

// testFleet is a platform in the test's process and instances as processes of their own.
type testFleet struct {
	t    testing.TB
	log  *standin.Log
	list *standin.InstanceList
	// address serves log and list; cutAddress serves the list and a log that is down for ever.
	address, cutAddress string
	instances           []*testInstance
	// settings are added to those of each instance.
	settings string
}

type testInstance struct {
	id, caller, admin, peer, file string
	command                       *exec.Cmd
}

func newTestFleet(t testing.TB, size int) *testFleet {
	t.Helper()
	addresses := freeAddresses(t, 2+3*size)
	f := &testFleet{t: t, log: standin.NewLog(), list: standin.NewInstanceList(0), address: addresses[0], cutAddress: addresses[1]}
	cut := standin.NewLog()
	cut.SetFaults(standin.LogFaults{Down: true})
	f.servePlatform(f.address, f.log)
	f.servePlatform(f.cutAddress, cut)
	var listed []logservice.ListedInstance
	for i := range size {
		own := addresses[2+3*i:]
		n := &testInstance{id: fmt.Sprintf("i%d", i), caller: own[0], admin: own[1], peer: own[2]}
		f.instances = append(f.instances, n)
		listed = append(listed, logservice.ListedInstance{
			ID: n.id, Zone: "tz-north-a", PeerAddress: n.peer, AdminAddress: n.admin, State: logservice.ListedLive,
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

// start starts an instance as a process. Its platform is f.address or f.cutAddress.
func (f *testFleet) start(i int, platformAddress string) {
	f.t.Helper()
	n := f.instances[i]
	n.file = writeSettings(f.t, n.id, platformAddress, []string{n.caller, n.admin, n.peer})
	replaceInFile(f.t, n.file, "[peer]", "[log]\nlevel = \"error\"\n"+f.settings+"\n[peer]")
	n.command = start(f.t, "daemon "+n.file)
}

func (f *testFleet) startAll() {
	f.t.Helper()
	for i := range f.instances {
		f.start(i, f.address)
	}
}

func (f *testFleet) signal(i int, s syscall.Signal) {
	f.t.Helper()
	if err := f.instances[i].command.Process.Signal(s); err != nil {
		f.t.Fatal(err)
	}
}

// stop ends an instance with a signal and waits for its end.
func (f *testFleet) stop(i int, s syscall.Signal) {
	f.t.Helper()
	f.signal(i, s)
	_ = f.instances[i].command.Wait()
}

func (f *testFleet) status(i int) *admin.Status {
	answer, err := statusClient.Get("http://" + f.instances[i].admin + "/status")
	if err != nil {
		return nil
	}
	defer func() { _ = answer.Body.Close() }()
	var status admin.Status
	if json.NewDecoder(answer.Body).Decode(&status) != nil {
		return nil
	}
	return &status
}

var statusClient = &http.Client{Timeout: time.Second}

// ready reports whether an instance is ready.
func (f *testFleet) ready(i int) bool {
	status := f.status(i)
	return status != nil && status.Ready
}

// at reports whether an instance has a revision in force.
func (f *testFleet) at(i int, revision logservice.Offset) bool {
	status := f.status(i)
	return status != nil && status.Revision >= revision
}

// allAt waits until the instances have a revision in force.
func (f *testFleet) allAt(revision logservice.Offset, instances ...int) {
	f.t.Helper()
	for _, i := range instances {
		testwait.Until(f.t, fmt.Sprintf("revision %d on instance %d", revision, i), func() bool { return f.at(i, revision) })
	}
}

func (f *testFleet) all() []int {
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

// publish puts a service into force and returns its revision.
func (f *testFleet) publish(s operator.Service) logservice.Offset {
	f.t.Helper()
	return publish(f.t, f.log, s)
}

// target starts a target in the test's process.
func (f *testFleet) target() *standin.Target {
	f.t.Helper()
	return standintest.StartTarget(f.t, "127.0.0.1:0", 6)
}

// lookup sends a request through an instance and returns the address of the target that answered, as it echoes it.
func (f *testFleet) lookup(i int, token string) (int, string) {
	status, body, err := get(f.instances[i].caller, "/flightdesk/slots", token)
	if err != nil {
		return 0, err.Error()
	}
	return status, strings.TrimSpace(body)
}
