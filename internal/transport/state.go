package transport

import "github.com/basillink/basillink/internal/chart"

// connectionChart is charts/connection.toml. It is compiled, because a request causes four transitions.
var connectionChart = chart.MustTable("connection")

var (
	stateTaken     = connectionChart.MustState("taken")
	stateExchange  = connectionChart.MustState("exchange")
	stateSuspected = connectionChart.MustState("suspected")
	stateSilent    = connectionChart.MustState("silent")

	eventOpened   = connectionChart.MustEvent("opened")
	eventTake     = connectionChart.MustEvent("take")
	eventDistrust = connectionChart.MustEvent("distrust")
	eventCheck    = connectionChart.MustEvent("check")
	eventBegin    = connectionChart.MustEvent("begin")
	eventQuiet    = connectionChart.MustEvent("quiet")
	eventTrust    = connectionChart.MustEvent("trust")
	eventSilent   = connectionChart.MustEvent("silent")
	eventAnswered = connectionChart.MustEvent("answered")
	eventAbort    = connectionChart.MustEvent("abort")
	eventRelease  = connectionChart.MustEvent("release")
	eventClose    = connectionChart.MustEvent("close")
)

// fire takes the transition of an event. The chart counts the events that it refuses, so that callers look at the error
// only where they act on it.
func (c *Conn) fire(event chart.EventID) error { return c.state.Fire(connectionChart, event) }

func (c *Conn) is(state chart.StateID) bool { return c.state.State() == state }
