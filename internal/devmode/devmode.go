// Package devmode runs a platform, targets and one instance in one process, for
// trying basillink out. It is not for production: everything is held in memory,
// the platform and the targets are stand-ins, and only loopback addresses are
// accepted.
package devmode

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"github.com/basillink/basillink/internal/client"
	"github.com/basillink/basillink/internal/daemon"
	"github.com/basillink/basillink/internal/logservice"
	"github.com/basillink/basillink/internal/settings"
	"github.com/basillink/basillink/internal/standin"
	"github.com/basillink/basillink/internal/telemetry"
)

// Addresses are the loopback addresses of the process. Targets take free ports.
type Addresses struct {
	Caller   string
	Admin    string
	Peer     string
	Platform string
}

// DefaultAddresses returns the addresses that the documentation uses.
func DefaultAddresses() Addresses {
	return Addresses{Caller: "127.0.0.1:8080", Admin: "127.0.0.1:8081", Peer: "127.0.0.1:8082", Platform: "127.0.0.1:7000"}
}

// AddressError reports an address that is not a loopback address with a port.
type AddressError struct {
	Name    string
	Address string
}

func (e *AddressError) Error() string {
	return fmt.Sprintf("%s: address %q is not accepted; accepted: a loopback address and port such as 127.0.0.1:8080", e.Name, e.Address)
}

// Check returns the first address that is not accepted as *AddressError.
func (a Addresses) Validate() error {
	for _, entry := range []struct{ name, address string }{
		{"caller", a.Caller}, {"admin", a.Admin}, {"peer", a.Peer}, {"platform", a.Platform},
	} {
		parsed, err := netip.ParseAddrPort(entry.address)
		if err != nil || !parsed.Addr().IsLoopback() || parsed.Port() == 0 {
			return &AddressError{Name: entry.name, Address: entry.address}
		}
	}
	return nil
}

const (
	instanceID = "dev"
	zone       = "tz-north-a"
	// secret authenticates nobody: the only instance has no peers.
	peerSecret = "development mode has no peers"
	// stopWait bounds the end of the stand-ins after the instance has drained.
	shutdownTimeout = time.Second
)

// Run serves until the context ends. It prints to out what to try, and logs to log.
func Run(ctx context.Context, a Addresses, out io.Writer, log *slog.Logger) error {
	if err := a.Validate(); err != nil {
		return err
	}
	telemetry.RedirectServerLogs(telemetry.Component(log, "http"))
	fleet, err := startStandIns(a, telemetry.Component(log, "stand-in"))
	if err != nil {
		return err
	}
	defer fleet.close()
	if err := fleet.publishSamples(ctx); err != nil {
		return err
	}
	instance, err := daemon.New(a.settings(), log)
	if err != nil {
		return err
	}
	printGuide(out, a)
	return instance.Run(ctx)
}

func (a Addresses) settings() *settings.Settings {
	s := &settings.Settings{
		Instance: settings.Instance{ID: instanceID, Zone: zone},
		Listen:   settings.Listen{Caller: a.Caller, Admin: a.Admin, Peer: a.Peer},
		Platform: settings.Platform{Address: a.Platform},
		Peer:     settings.Peer{Secret: peerSecret},
	}
	s.SetDefaults()
	return s
}

// fleet holds the stand-ins of one process.
type standIns struct {
	platform *standin.PlatformServer
	targets  map[string][]*standin.Target
	log      *slog.Logger
}

func startStandIns(a Addresses, log *slog.Logger) (*standIns, error) {
	list := standin.NewInstanceList(0)
	list.Set([]logservice.ListedInstance{{
		ID: instanceID, Zone: zone, PeerAddress: a.Peer, AdminAddress: a.Admin, State: logservice.ListedLive,
	}})
	f := &standIns{
		platform: standin.NewPlatformServer(a.Platform, standin.NewLog(), list),
		targets:  map[string][]*standin.Target{},
		log:      log,
	}
	if err := f.platform.Listen(); err != nil {
		return nil, trace.Wrap(err, "platform")
	}
	f.serve("platform", f.platform.Run)
	return f, f.startTargets()
}

func (f *standIns) startTargets() error {
	for _, sample := range samples() {
		for range sample.service.Zones {
			target, err := standin.NewTarget("127.0.0.1:0", sample.service.SlotsPerTarget)
			if err != nil {
				return trace.Wrap(err, "target")
			}
			target.SetFaults(standin.TargetFaults{ServiceTime: sample.serviceTime})
			f.targets[sample.service.Name] = append(f.targets[sample.service.Name], target)
			f.serve("target", target.Run)
		}
	}
	return nil
}

func (f *standIns) serve(name string, run func() error) {
	go func() {
		if err := run(); err != nil {
			f.log.Debug("A stand-in ended.", "name", name, "error", err)
		}
	}()
}

// publish makes the sample intent the configuration in force.
func (f *standIns) publishSamples(ctx context.Context) error {
	state, err := client.ReadState(ctx, f.platform.Log)
	if err != nil {
		return err
	}
	for _, sample := range samples() {
		service := sample.withTargets(f.targets[sample.service.Name])
		if _, err := client.Publish(ctx, f.platform.Log, state, "development mode", service); err != nil {
			return trace.Wrap(err, "publish %s", service.Name)
		}
	}
	return nil
}

func (f *standIns) close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := f.platform.Shutdown(ctx); err != nil {
		f.log.Debug("The platform did not stop.", "error", err)
	}
	for _, targets := range f.targets {
		for _, target := range targets {
			_ = target.Close()
		}
	}
}
