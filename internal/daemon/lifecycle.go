package daemon

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/basillink/basillink/internal/chart"
)

// States and events of the charts lifecycle.toml and drain.toml in internal/chart/charts.
const (
	stateReady = chart.State("ready")

	eventConfigured = chart.Event("configured")
	eventStop       = chart.Event("stop")
	eventIdle       = chart.Event("idle")
	eventFailed     = chart.Event("failed")

	stateClosing = chart.State("closing")
	stateWaiting = chart.State("waiting")
	stateCutting = chart.State("cutting")

	eventBegin  = chart.Event("begin")
	eventClosed = chart.Event("closed")
	eventLimit  = chart.Event("limit")
)

// startCharts loads and starts the statecharts of the control loop, the lifecycle and the drain.
func (d *Daemon) startCharts() error {
	if err := d.loop.StartStatechart(); err != nil {
		return trace.Wrap(err)
	}
	lifecycle, err := chart.Load("lifecycle")
	if err != nil {
		return trace.Wrap(err)
	}
	drain, err := chart.Load("drain")
	if err != nil {
		return trace.Wrap(err)
	}
	if d.lifecycleChart, err = lifecycle.Start(map[chart.State]chart.EnterFunc{stateReady: d.enterReady}); err != nil {
		return trace.Wrap(err)
	}
	d.drainChart, err = drain.Start(map[chart.State]chart.EnterFunc{
		stateClosing: d.enterClosing,
		stateWaiting: d.enterWaiting,
		stateCutting: d.enterCutting,
	})
	return trace.Wrap(err)
}

func (d *Daemon) ready() bool { return d.lifecycleChart.State() == stateReady }

func (d *Daemon) enterReady(context.Context, chart.Event) { d.log.Info("Instance is ready.") }

func (d *Daemon) enterClosing(context.Context, chart.Event) {
	d.log.Info("Draining.", "in_flight", d.gateway.InFlight(), "limit_ms", d.settings.Drain.LimitMS)
	d.gateway.RefuseNewRequests()
}

func (d *Daemon) enterWaiting(context.Context, chart.Event) {
	d.log.Info("Stopped accepting connections.", "in_flight", d.gateway.InFlight())
}

func (d *Daemon) enterCutting(context.Context, chart.Event) {
	d.log.Warn("Drain limit reached. Cancelling requests of short classes.", "in_flight", d.gateway.InFlight())
	d.gateway.CancelShortRequests()
}

// fireLifecycle sends an event to the lifecycle chart. An error, which is logged, means that the chart does not declare
// the event: every state of the chart handles or ignores each declared event.
func (d *Daemon) fireLifecycle(ctx context.Context, event chart.Event) {
	d.logChartError(d.lifecycleChart.Fire(ctx, event))
}

// fireDrain sends an event to the drain chart. Errors have the same cause as those of fireLifecycle.
func (d *Daemon) fireDrain(ctx context.Context, event chart.Event) {
	d.logChartError(d.drainChart.Fire(ctx, event))
}

func (d *Daemon) logChartError(err error) {
	if err != nil {
		d.log.Error("A statechart refused an event.", "error", err)
	}
}
