package ingress

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/basillink/basillink/internal/dispatch"
	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/transport"
)

func isEOF(err error) bool { return errors.Is(err, io.EOF) }

// recordAnswer counts an answer. It logs answers that are late, of status 400 or above, or needed a retry, and a sample of the
// others.
func (g *Gateway) recordAnswer(call *call, r *result) {
	total := g.Now() - call.arrivedAt
	g.Counter.Answered(call.service, call.route.Name)
	g.Counter.Served(call.route.Name, total, call.waited)
	sampled := g.logSampler.sample()
	status := r.answer.Response.StatusCode()
	late := total > call.route.LatencyObjective
	if status < 400 && !late && call.attempts == 1 && !sampled {
		return
	}
	message := "Answered."
	switch {
	case status >= http.StatusInternalServerError:
		message = "Passed a failure of a target on."
	case late:
		message = "Answered late."
	}
	g.Log.Info(message, append(call.logAttributes(), "status", status, "total_ms", milliseconds(total))...)
}

// recordRefusal counts and logs a request that is refused or failed.
func (g *Gateway) recordRefusal(call *call, r *result) {
	g.Counter.Refused(call.service, r.failure)
	if r.failure == reason.Overloaded || r.failure == reason.ConnectionsBusy {
		g.connections.CloseUnread()
	}
	message := "Failed a request."
	if r.failure.Outcome == reason.NotRun {
		message = "Refused a request."
	}
	attributes := append(call.logAttributes(), "reason", r.failure.Name, "status", r.failure.Status,
		"total_ms", milliseconds(g.Now()-call.arrivedAt), "retry_after_ms", milliseconds(r.retryAfter))
	if r.cause != nil && r.cause != error(r.failure) {
		attributes = append(attributes, slog.Any("error", r.cause))
	}
	g.Log.Info(message, attributes...)
}

// recordRetry counts and logs that a request is sent to another target.
func (g *Gateway) recordRetry(call *call, r *result) {
	g.Counter.Retried(call.service, r.retryReason)
	attributes := append(call.logAttributes(), "reason", r.retryReason.Name, "total_ms", milliseconds(g.Now()-call.arrivedAt))
	if r.cause != nil && r.cause != error(r.failure) {
		attributes = append(attributes, slog.Any("error", r.cause))
	}
	g.Log.Info("Sending to a further target.", attributes...)
}

// recordNewChoice logs that a target is chosen again because nothing was sent to the first one. It counts the choices that are due to
// busy connections, of which there are many under load, and closes connections that may hold them.
func (g *Gateway) recordNewChoice(call *call, d dispatch.Decision, err error) {
	level := slog.LevelWarn
	var timeout *transport.ConnectTimeoutError
	if errors.As(err, &timeout) {
		level = slog.LevelInfo
		g.Counter.Retried(call.service, reason.RetryConnectionsBusy)
		g.connections.CloseUnread()
	}
	g.Log.Log(context.Background(), level, "Choosing a target again.", "request", call.id, "target", d.Target.ID, "error", err)
}

// recordAbortedStream counts and logs a streamed answer that was aborted, because the target's answer ended early or because it
// could not be written to the caller.
func (g *Gateway) recordAbortedStream(call *call, err error) {
	g.Counter.Refused(call.service, reason.AnswerTruncated)
	g.Log.Info("Aborted a streamed answer.", append(call.logAttributes(), "error", err)...)
}

// logAttributes returns the log attributes of a request and of its last dispatch decision.
func (call *call) logAttributes() []any {
	if call.route == nil {
		return []any{"request", call.id, "version", call.configVersion}
	}
	inputs := call.lastDecision.Inputs
	attributes := []any{
		"request", call.id, "route", call.route.Name, "version", call.configVersion, "service", call.service,
		"attempts", call.attempts, "candidates", inputs.Candidates, "open", inputs.Available, "waiting", inputs.Waiting,
		"waited_ms", milliseconds(inputs.Waited), "denied", inputs.DeniedClaims, "denied_credits", inputs.DeniedCredits,
	}
	if name := call.caller.Name(); name != "" {
		attributes = append(attributes, "workspace", name)
	}
	if t := call.lastDecision.Target; t != nil {
		attributes = append(attributes, "target", t.ID, "occupied", inputs.InFlight, "pace", inputs.Slowdown,
			"reading_age_ms", milliseconds(inputs.ReportAge), "expected_ms", milliseconds(inputs.ExpectedLatency))
	}
	if other := inputs.Alternative; call.lastDecision.Target != nil && other.Target != "" {
		attributes = append(attributes, "other", other.Target, "other_occupied", other.InFlight, "other_pace", other.Slowdown,
			"other_age_ms", milliseconds(other.ReportAge), "other_expected_ms", milliseconds(other.ExpectedLatency), "other_behind_ms", milliseconds(other.ExtraCost))
	}
	return attributes
}

// milliseconds returns a duration in milliseconds, rounded to 0.01 ms.
func milliseconds(d time.Duration) float64 {
	return float64(d.Round(10*time.Microsecond)) / float64(time.Millisecond)
}
