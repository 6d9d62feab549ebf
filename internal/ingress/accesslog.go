package ingress

import (
	"errors"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/basillink/basillink/internal/reason"
)

func isEOF(err error) bool { return errors.Is(err, io.EOF) }

// noteAnswer counts an answer and logs it if it is late, failed, or sampled.
func (g *Gateway) recordAnswer(call *call, r *result) {
	total := g.Now() - call.arrivedAt
	g.Counter.Answered(call.service, call.route.Name)
	g.Counter.Served(call.route.Name, total, call.waited)
	n := g.answerCount.Add(1)
	status := r.answer.Response.StatusCode()
	late := total > call.route.LatencyObjective
	sample := g.logSampling.Load()
	if status < 400 && !late && call.attempts == 1 && (sample == 0 || n%uint64(sample) != 0) {
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

// noteRefusal counts and logs a request that no target answered.
func (g *Gateway) recordRefusal(call *call, r *result) {
	g.Counter.Refused(call.service, r.reason)
	message := "Failed a request."
	if r.reason.Outcome == reason.NotRun {
		message = "Refused a request."
	}
	attributes := append(call.logAttributes(), "reason", r.reason.Name, "status", r.reason.Status,
		"total_ms", milliseconds(g.Now()-call.arrivedAt), "retry_after_ms", milliseconds(r.retryAfter))
	if r.cause != nil && r.cause != error(r.reason) {
		attributes = append(attributes, slog.Any("error", r.cause))
	}
	g.Log.Info(message, attributes...)
}

// noteRetry counts and logs that a request goes to a further target.
func (g *Gateway) recordRetry(call *call, r *result) {
	g.Counter.Retried(call.service, r.retryReason)
	attributes := append(call.logAttributes(), "reason", r.retryReason.Name, "total_ms", milliseconds(g.Now()-call.arrivedAt))
	if r.cause != nil && r.cause != error(r.reason) {
		attributes = append(attributes, slog.Any("error", r.cause))
	}
	g.Log.Info("Sending to a further target.", attributes...)
}

// noteBroken logs an answer that ended early while it was passed on.
func (g *Gateway) recordBrokenAnswer(call *call, err error) {
	g.Counter.Refused(call.service, reason.AnswerTruncated)
	g.Log.Info("Broke off an answer.", append(call.logAttributes(), "error", err)...)
}

// attributes describe a request and the inputs of the last decision.
func (call *call) logAttributes() []any {
	if call.route == nil {
		return []any{"request", call.id, "version", call.configVersion}
	}
	in := call.lastDecision.Inputs
	attributes := []any{
		"request", call.id, "route", call.route.Name, "version", call.configVersion, "service", call.service,
		"attempts", call.attempts, "candidates", in.Candidates, "open", in.Available, "waiting", in.Waiting,
		"waited_ms", milliseconds(in.Waited), "denied", in.DeniedClaims,
	}
	if t := call.lastDecision.Target; t != nil {
		attributes = append(attributes, "target", t.ID, "occupied", in.InFlight, "pace", in.Slowdown,
			"reading_age_ms", milliseconds(in.ReportAge), "expected_ms", milliseconds(in.ExpectedLatency))
	}
	if other := in.Alternative; call.lastDecision.Target != nil && other.Target != "" {
		attributes = append(attributes, "other", other.Target, "other_occupied", other.InFlight, "other_pace", other.Slowdown,
			"other_age_ms", milliseconds(other.ReportAge), "other_expected_ms", milliseconds(other.ExpectedLatency), "other_behind_ms", milliseconds(other.ExtraCost))
	}
	return attributes
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Round(10*time.Microsecond)) / float64(time.Millisecond)
}
