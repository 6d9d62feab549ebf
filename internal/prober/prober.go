// Package prober asks targets for their load and passes the answers to the
// selection policy. Probes run beside requests and never delay them. Each probe
// is charged to the service's allowance before it is sent.
package prober

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/basillink/basillink/internal/budget"
	"github.com/basillink/basillink/internal/control"
	"github.com/basillink/basillink/internal/logservice"
)

const (
	// workers is the number of probes under way at once over all services.
	workers = 8
	// queueLength bounds the probes that wait for a worker. A load report is of no use after a few milliseconds, so
	// further ones are dropped.
	queueLength = 32
	// probeTimeout bounds one probe. A later answer would be too old to use.
	probeTimeout = 50 * time.Millisecond
)

// Prober sends load probes. Requested and Counts may be called from any goroutine.
type Prober struct {
	now func() time.Duration
	// started is when the process started. What a predecessor spent just before counts for the first window after it.
	started time.Duration
	jobs    chan *control.Service
	dropped atomic.Uint64
	sent    atomic.Uint64
	failed  atomic.Uint64

	services sync.Map // service name to *account
	conns    connections
}

// account is the measuring of one service. It outlives revisions of the service and its removal, so that a service
// that returns cannot spend twice.
type account struct {
	rate      budget.Rate
	allowance *budget.Allowance
	revision  atomic.Int64
}

// New returns a prober. Now is the monotonic time that the policies see.
func New(now func() time.Duration) *Prober {
	return &Prober{now: now, started: now(), jobs: make(chan *control.Service, queueLength)}
}

// Counts are the numbers of probes since the start.
type Counts struct {
	// Sent were charged and sent, Failed is how many of them had no usable answer, and Dropped found no free worker or
	// connection.
	Sent, Failed, Dropped uint64
}

// Counts returns the numbers of probes since the start.
func (p *Prober) Counts() Counts {
	return Counts{Sent: p.sent.Load(), Failed: p.failed.Load(), Dropped: p.dropped.Load()}
}

// Requested records a request to a service and queues the probes that it pays for. It does not block.
func (p *Prober) OnRequest(service *control.Service) {
	measuring := service.Spec.Measuring
	if measuring.ProbesPerRequest <= 0 || !service.HasProbeConnection() {
		return
	}
	for range p.account(service).rate.Earn(measuring.ProbesPerRequest) {
		select {
		case p.jobs <- service:
		default:
			p.dropped.Add(1)
		}
	}
}

func (p *Prober) account(service *control.Service) *account {
	found, ok := p.services.Load(service.Spec.Name)
	if !ok {
		allowance := budget.New(service.Spec.Measuring, service.Spec.MaxInstances, p.started)
		fresh := &account{allowance: allowance}
		fresh.revision.Store(int64(service.Revision))
		found, _ = p.services.LoadOrStore(service.Spec.Name, fresh)
	}
	a := found.(*account)
	a.follow(service)
	return a
}

// follow applies the budget of a newer revision.
func (a *account) follow(service *control.Service) {
	known := a.revision.Load()
	if logservice.Offset(known) >= service.Revision || !a.revision.CompareAndSwap(known, int64(service.Revision)) {
		return
	}
	a.allowance.Resize(service.Spec.Measuring, service.Spec.MaxInstances)
}

// Run sends probes until the context ends.
func (p *Prober) Run(ctx context.Context) {
	var group sync.WaitGroup
	for range workers {
		group.Go(func() { p.work(ctx) })
	}
	group.Wait()
	p.conns.closeAll()
}

func (p *Prober) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case service := <-p.jobs:
			p.probe(service, rand.Uint64())
		}
	}
}

// probe charges and sends one probe. A probe without a usable answer stays charged.
func (p *Prober) probe(service *control.Service, random uint64) {
	index, ok := service.Policy.NextProbe(p.now(), random)
	if !ok {
		return
	}
	address := service.Targets[index].Address
	conn := p.conns.reserve(address)
	if conn == nil {
		p.dropped.Add(1)
		return
	}
	defer p.conns.free(address, conn)
	if !p.spend(service) {
		return
	}
	if report, ok := p.send(conn, address); ok {
		service.Policy.Probed(index, report.probe(p.now()))
	}
}

// spend charges a load probe. While a target of the service is left out, a part of the allowance is kept for checks
// whether it is back, because probes may otherwise use up the allowance at any time.
func (p *Prober) spend(service *control.Service) bool {
	allowance := p.account(service).allowance
	if len(service.Targets) < len(service.Spec.Targets) {
		return allowance.SpendBeyondReserve(p.now(), budget.ProbeBytes)
	}
	return allowance.Spend(p.now(), budget.ProbeBytes)
}

// Check asks a target that receives no requests whether it is back. It is charged like a probe, and reports false when
// the allowance is spent or the target does not answer. The connection is a new one, because a kept one leads to the
// process that left.
func (p *Prober) Check(service *control.Service, address string) (TargetStatus, bool) {
	conn := p.conns.reserve(address)
	if conn == nil {
		return TargetStatus{}, false
	}
	defer p.conns.free(address, conn)
	conn.close()
	defer conn.close()
	if !p.account(service).allowance.Spend(p.now(), budget.ProbeBytes) {
		return TargetStatus{}, false
	}
	report, ok := p.send(conn, address)
	return report.presence, ok
}

// send sends one charged probe.
func (p *Prober) send(conn *connection, address string) (loadReport, bool) {
	p.sent.Add(1)
	report, err := conn.ask(address)
	if err != nil {
		p.failed.Add(1)
	}
	return report, err == nil
}
