// Package devmode runs a stand-in platform, sample targets and one instance in one
// process, for trying out basillink. It is not for production: all data is held
// in memory and only loopback addresses are accepted.
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

// Addresses holds the loopback addresses of the listeners in the form "IP:port". Targets use free ports.
type Addresses struct {
	Caller   string
	Admin    string
	Peer     string
	Platform string
}

// DefaultAddresses returns the addresses that are used in the documentation.
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

// Validate returns an *AddressError for the first invalid address.
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
	// peerSecret is required by the settings but never used, because the only instance has no peers.
	peerSecret = "development mode has no peers"
	// shutdownTimeout limits how long the stand-in platform may take to shut down after the instance has drained.
	shutdownTimeout = time.Second
)

// Run serves until ctx is cancelled. It prints a guide for new users to out.
func Run(ctx context.Context, a Addresses, out io.Writer, log *slog.Logger) error {
	if err := a.Validate(); err != nil {
		return err
	}
	telemetry.RedirectServerLogs(telemetry.Component(log, "http"))
	servers, err := startStandIns(a, telemetry.Component(log, "stand-in"))
	if err != nil {
		return err
	}
	defer servers.close()
	if err := servers.publishSamples(ctx); err != nil {
		return err
	}
	instance, err := daemon.New(a.settings(), log)
	if err != nil {
		return err
	}
	printGuide(out, a)
	return instance.Run(ctx)
}

// settings returns the settings of the instance.
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

// standInServers holds the stand-in platform and the targets by service name.
type standInServers struct {
	platform *standin.PlatformServer
	targets  map[string][]*standin.Target
	log      *slog.Logger
}

// startStandIns starts the stand-in platform and the targets. The instance list of the platform holds the only instance.
func startStandIns(a Addresses, log *slog.Logger) (*standInServers, error) {
	list := standin.NewInstanceList(0)
	list.Set([]logservice.ListedInstance{{
		ID: instanceID, Zone: zone, PeerAddress: a.Peer, AdminAddress: a.Admin, State: logservice.ListedLive,
	}})
	s := &standInServers{
		platform: standin.NewPlatformServer(a.Platform, standin.NewLog(), list),
		targets:  map[string][]*standin.Target{},
		log:      log,
	}
	if err := s.platform.Listen(); err != nil {
		return nil, trace.Wrap(err, "stand-in platform")
	}
	s.serve("platform", s.platform.Run)
	return s, s.startTargets()
}

// startTargets starts one target in each availability zone of each sample service.
func (s *standInServers) startTargets() error {
	for _, sample := range samples() {
		for range sample.service.Zones {
			target, err := standin.NewTarget("127.0.0.1:0", sample.service.SlotsPerTarget)
			if err != nil {
				return trace.Wrap(err, "target of service %s", sample.service.Name)
			}
			target.SetFaults(standin.TargetFaults{ServiceTime: sample.serviceTime})
			s.targets[sample.service.Name] = append(s.targets[sample.service.Name], target)
			s.serve("target", target.Run)
		}
	}
	return nil
}

func (s *standInServers) serve(name string, run func() error) {
	go func() {
		if err := run(); err != nil {
			s.log.Debug("A stand-in server stopped.", "name", name, "error", err)
		}
	}()
}

// publishSamples publishes the sample services, with the addresses of their targets, to the stand-in platform.
func (s *standInServers) publishSamples(ctx context.Context) error {
	state, err := client.ReadState(ctx, s.platform.Log)
	if err != nil {
		return err
	}
	for _, sample := range samples() {
		service := sample.withTargets(s.targets[sample.service.Name])
		if _, err := client.Publish(ctx, s.platform.Log, state, "development mode", service); err != nil {
			return trace.Wrap(err, "publish %s", service.Name)
		}
	}
	return nil
}

func (s *standInServers) close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := s.platform.Shutdown(ctx); err != nil {
		s.log.Debug("Could not shut down the stand-in platform.", "error", err)
	}
	for _, targets := range s.targets {
		for _, target := range targets {
			_ = target.Close()
		}
	}
}
