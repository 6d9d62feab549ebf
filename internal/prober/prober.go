// Package prober sends load probes to targets and passes the answers to the
// selection policy. Probes run concurrently with requests and never delay them.
// Each probe is charged to the service's allowance before it is sent.
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
	// workerCount is the maximum number of concurrent probes of all services.
	workerCount = 8
	// queueSize is the maximum number of probes that wait for a worker. Further ones are dropped, because a load report
	// is of no use after a few milliseconds.
	queueSize = 32
	// probeTimeout limits the duration of opening a connection, and that of an exchange. A later answer would be too old
	// to use.
	probeTimeout = 50 * time.Millisecond
)

// Prober sends load probes. It is safe for concurrent use.
type Prober struct {
	now func() time.Duration
	// started is when this process started. Allowances treat the first window after it as spent, because a previous
	// process may have spent its allowance just before.
	started time.Duration
	// queue holds one entry per probe to send.
	queue   chan *control.Service
	dropped atomic.Uint64
	sent    atomic.Uint64
	failed  atomic.Uint64

	budgets sync.Map // service name to *serviceBudget
	pool    connPool
}

// serviceBudget is the probe budget of one service. It is kept across revisions of the service and after its removal, so
// that a service that is added again cannot spend its allowance twice.
type serviceBudget struct {
	rate      budget.Rate
	allowance *budget.Allowance
	// revision is the revision of the service that the allowance was last set from.
	revision atomic.Int64
}

// New returns a prober. Now returns the monotonic time that the policies use.
func New(now func() time.Duration) *Prober {
	return &Prober{now: now, started: now(), queue: make(chan *control.Service, queueSize)}
}

// Counts holds the numbers of probes since the start of the process.
type Counts struct {
	// Sent counts the probes that were charged and sent, and Failed those of them without a usable answer. Dropped counts
	// the probes for which no worker or connection was free; these were not charged.
	Sent, Failed, Dropped uint64
}

// Counts returns the current numbers of probes.
func (p *Prober) Counts() Counts {
	return Counts{Sent: p.sent.Load(), Failed: p.failed.Load(), Dropped: p.dropped.Load()}
}

// OnRequest records a request to a service and queues the probes that are due according to ProbesPerRequest. It does not
// block.
func (p *Prober) OnRequest(service *control.Service) {
	measuring := service.Spec.Measuring
	if measuring.ProbesPerRequest <= 0 || !service.HasProbeConnection() {
		return
	}
	for range p.budgetFor(service).rate.Earn(measuring.ProbesPerRequest) {
		select {
		case p.queue <- service:
		default:
			p.dropped.Add(1)
		}
	}
}

// budgetFor returns the budget of a service, updated to the service's revision.
func (p *Prober) budgetFor(service *control.Service) *serviceBudget {
	found, ok := p.budgets.Load(service.Spec.Name)
	if !ok {
		allowance := budget.New(service.Spec.Measuring, service.Spec.MaxInstances, p.started)
		fresh := &serviceBudget{allowance: allowance}
		fresh.revision.Store(int64(service.Revision))
		found, _ = p.budgets.LoadOrStore(service.Spec.Name, fresh)
	}
	b := found.(*serviceBudget)
	b.applyRevision(service)
	return b
}

// applyRevision applies the limits of a service if its revision is newer than the last one.
func (b *serviceBudget) applyRevision(service *control.Service) {
	current := b.revision.Load()
	if logservice.Offset(current) >= service.Revision || !b.revision.CompareAndSwap(current, int64(service.Revision)) {
		return
	}
	b.allowance.Resize(service.Spec.Measuring, service.Spec.MaxInstances)
}

// Run sends the queued probes until the context is done.
func (p *Prober) Run(ctx context.Context) {
	var group sync.WaitGroup
	for range workerCount {
		group.Go(func() { p.runWorker(ctx) })
	}
	group.Wait()
	p.pool.closeIdleConns()
}

func (p *Prober) runWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case service := <-p.queue:
			p.probe(service, rand.Uint64())
		}
	}
}

// probe charges and sends one probe. It is charged even if the answer is not usable.
func (p *Prober) probe(service *control.Service, random uint64) {
	index, ok := service.Policy.NextProbe(p.now(), random)
	if !ok {
		return
	}
	address := service.Targets[index].Address
	conn := p.pool.acquire(address)
	if conn == nil {
		p.dropped.Add(1)
		return
	}
	defer p.pool.release(address, conn)
	if !p.charge(service) {
		return
	}
	if report, ok := p.send(conn, address); ok {
		service.Policy.Probed(index, report.toProbeResult(p.now()))
	}
}

// charge charges a load probe to the allowance of a service, and reports whether the allowance permits it. While a
// target of the service is excluded, a part of the allowance is reserved for Check, because load probes could otherwise
// use up the whole allowance.
func (p *Prober) charge(service *control.Service) bool {
	allowance := p.budgetFor(service).allowance
	if len(service.Targets) < len(service.Spec.Targets) {
		return allowance.SpendBeyondReserve(p.now(), budget.ProbeBytes)
	}
	return allowance.Spend(p.now(), budget.ProbeBytes)
}

// Check probes a target that receives no requests, to find out whether it is available again. It is charged like a load
// probe. It returns false if the allowance is spent, the target does not answer, or another probe is using the
// connection. It opens a new connection, because an existing one leads to the previous process of the
// target.
func (p *Prober) Check(service *control.Service, address string) (TargetStatus, bool) {
	conn := p.pool.acquire(address)
	if conn == nil {
		return TargetStatus{}, false
	}
	defer p.pool.release(address, conn)
	conn.close()
	defer conn.close()
	if !p.budgetFor(service).allowance.Spend(p.now(), budget.ProbeBytes) {
		return TargetStatus{}, false
	}
	report, ok := p.send(conn, address)
	return report.status, ok
}

// send sends one probe that has been charged. It reports whether the answer is usable.
func (p *Prober) send(conn *probeConn, address string) (loadReport, bool) {
	p.sent.Add(1)
	report, err := conn.roundTrip(address)
	if err != nil {
		p.failed.Add(1)
	}
	return report, err == nil
}
