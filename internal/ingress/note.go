package ingress

import (
	"errors"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/basillink/basillink/internal/reason"
)

func isEnd(err error) bool { return errors.Is(err, io.EOF) }

// noteAnswer counts an answer and logs it if it is late, failed, or sampled.
func (g *Gateway) noteAnswer(call *call, r *result) {
	total := g.Now() - call.arrived
	g.Counter.Answered(call.service, call.route.Name)
	g.Counter.Served(call.route.Name, total, call.waited)
	n := g.served.Add(1)
	status := r.answer.Response.StatusCode()
	late := total > call.route.LatencyObjective
	sample := g.sample.Load()
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
	g.Log.Info(message, append(call.attributes(), "status", status, "total_ms", ms(total))...)
}

// noteRefusal counts and logs a request that no target answered.
func (g *Gateway) noteRefusal(call *call, r *result) {
	g.Counter.Refused(call.service, r.why)
	message := "Failed a request."
	if r.why.Outcome == reason.NotRun {
		message = "Refused a request."
	}
	attributes := append(call.attributes(), "reason", r.why.Name, "status", r.why.Status,
		"total_ms", ms(g.Now()-call.arrived), "retry_after_ms", ms(r.retryAfter))
	if r.cause != nil && r.cause != error(r.why) {
		attributes = append(attributes, slog.Any("error", r.cause))
	}
	g.Log.Info(message, attributes...)
}

// noteRetry counts and logs that a request goes to a further target.
func (g *Gateway) noteRetry(call *call, r *result) {
	g.Counter.Retried(call.service, r.retry)
	attributes := append(call.attributes(), "reason", r.retry.Name, "total_ms", ms(g.Now()-call.arrived))
	if r.cause != nil && r.cause != error(r.why) {
		attributes = append(attributes, slog.Any("error", r.cause))
	}
	g.Log.Info("Sending to a further target.", attributes...)
}

// noteBroken logs an answer that ended early while it was passed on.
func (g *Gateway) noteBroken(call *call, err error) {
	g.Counter.Refused(call.service, reason.AnswerTruncated)
	g.Log.Info("Broke off an answer.", append(call.attributes(), "error", err)...)
}

// attributes describe a request and the inputs of the last decision.
func (call *call) attributes() []any {
	if call.route == nil {
		return []any{"request", call.id, "version", call.version}
	}
	in := call.last.Inputs
	attributes := []any{
		"request", call.id, "route", call.route.Name, "version", call.version, "service", call.service,
		"attempts", call.attempts, "candidates", in.Candidates, "open", in.Available, "waiting", in.Waiting,
		"waited_ms", ms(in.Waited), "denied", in.DeniedClaims,
	}
	if t := call.last.Target; t != nil {
		attributes = append(attributes, "target", t.ID, "occupied", in.InFlight, "pace", in.Slowdown,
			"reading_age_ms", ms(in.ReportAge), "expected_ms", ms(in.ExpectedLatency))
	}
	if other := in.Alternative; call.last.Target != nil && other.Target != "" {
		attributes = append(attributes, "other", other.Target, "other_occupied", other.InFlight, "other_pace", other.Slowdown,
			"other_age_ms", ms(other.ReportAge), "other_expected_ms", ms(other.ExpectedLatency), "other_behind_ms", ms(other.ExtraCost))
	}
	return attributes
}

func ms(d time.Duration) float64 {
	return float64(d.Round(10*time.Microsecond)) / float64(time.Millisecond)
}
