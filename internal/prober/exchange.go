package prober

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/basillink/basillink/internal/balancer"
	"github.com/basillink/basillink/internal/budget"
	"github.com/basillink/basillink/internal/framing"
	"github.com/basillink/basillink/internal/header"
)

// requestFormat is the probe request. It and the longest permitted answer together take at most budget.ProbeBytes.
const requestFormat = "GET /load HTTP/1.1\r\nHost: %s\r\n\r\n"

// AnswerError reports an answer to a load probe that cannot be used.
type AnswerError struct {
	Address string
	Detail  string
}

func (e *AnswerError) Error() string { return fmt.Sprintf("%s: load probe: %s", e.Address, e.Detail) }

// loadReport is the body of the answer to a probe.
type loadReport struct {
	InFlight  int   `json:"in_flight"`
	LatencyUS int64 `json:"latency_us"`

	// status is read from the headers of the answer.
	status TargetStatus
}

// TargetStatus is what a target reports about itself besides its load.
type TargetStatus struct {
	// Incarnation identifies the process of the target. It is empty if the target does not report it.
	Incarnation string
	Draining    bool
}

func (r *loadReport) toProbeResult(now time.Duration) balancer.ProbeResult {
	return balancer.ProbeResult{Now: now, InFlight: r.InFlight, Latency: time.Duration(r.LatencyUS) * time.Microsecond}
}

// exchange sends a probe on an open connection and reads the answer. It never reads more bytes than the probe was charged
// for. It returns an error if the answer is not a load report or the connection cannot be used again.
func exchange(conn net.Conn, address string) (loadReport, error) {
	var report loadReport
	if err := conn.SetDeadline(time.Now().Add(probeTimeout)); err != nil {
		return report, trace.Wrap(err)
	}
	written, err := fmt.Fprintf(conn, requestFormat, address)
	if err != nil {
		return report, trace.Wrap(err)
	}
	reader := bufio.NewReader(io.LimitReader(conn, int64(budget.ProbeBytes-written)))
	answer, err := framing.ReadAnswer(reader, nil)
	if err != nil {
		return report, trace.Wrap(err)
	}
	defer func() { _ = answer.Body.Close() }()
	report.status = TargetStatus{
		Incarnation: answer.Header.Get(header.TargetIncarnation),
		Draining:    answer.Header.Get(header.TargetDraining) == "1",
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return report, trace.Wrap(err)
	}
	if err := json.Unmarshal(body, &report); err != nil {
		return report, trace.Wrap(err)
	}
	if answer.StatusCode != http.StatusOK || report.InFlight < 0 || answer.Close || reader.Buffered() > 0 {
		return report, &AnswerError{Address: address, Detail: "not a load report on a reusable connection"}
	}
	return report, nil
}
