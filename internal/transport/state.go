package transport

import "github.com/basillink/basillink/internal/chart"

// connectionChart is the compiled form of charts/connection.toml, for speed: a request causes four transitions.
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

// fire makes the transition for an event. It returns an error if the chart refuses the event. Package chart counts refused
// events, so that callers check the error only where they act on it.
func (c *Conn) fire(event chart.EventID) error { return c.state.Fire(connectionChart, event) }

func (c *Conn) inState(state chart.StateID) bool { return c.state.State() == state }
