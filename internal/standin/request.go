package standin

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/basillink/basillink/internal/header"
)

// Headers with which a test steers the run of one request.
const (
	// TokenHeader carries the token that a target echoes in the body and counts executions by.
	TokenHeader = "X-Token"
	// FaultHeader selects a Fault for this request.
	FaultHeader = "X-Fault"
	// ServiceMSHeader sets the service time in milliseconds.
	ServiceMSHeader = "X-Service-Ms"
	// BytesHeader sets the length of the answer's body.
	BytesHeader = "X-Bytes"
)

// Fault is a fault of one request.
type Fault string

// Faults of one request.
const (
	// FaultNone answers normally.
	FaultNone Fault = ""
	// FaultShed answers 503 without running the request.
	FaultShed Fault = "shed"
	// FaultClose runs the request and closes the connection without an answer.
	FaultClose Fault = "close"
	// FaultTruncate runs the request and closes the connection halfway through the body.
	FaultTruncate Fault = "cut"
	// FaultSilent runs the request and never answers, with the connection left open.
	FaultSilent Fault = "silent"
	// FaultUnbounded answers without a length and ends the body by closing.
	FaultUnbounded Fault = "unbounded"
	// FaultChunked answers with chunks.
	FaultChunked Fault = "chunked"
	// FaultCrash stops the target.
	FaultCrash Fault = "crash"
)

// defaultTimeout is how long a request without a deadline waits for a slot.
const defaultTimeout = time.Minute

// run is what a target knows about one request.
type run struct {
	token   string
	fault   Fault
	body    []byte
	timeout time.Duration
	service time.Duration
	bytes   int
}

func readRun(r *http.Request) (*run, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	result := &run{
		token:   r.Header.Get(TokenHeader),
		fault:   Fault(r.Header.Get(FaultHeader)),
		body:    body,
		timeout: defaultTimeout,
	}
	if ms, err := strconv.Atoi(r.Header.Get(header.TimeoutMS)); err == nil {
		result.timeout = time.Duration(ms) * time.Millisecond
	}
	if ms, err := strconv.Atoi(r.Header.Get(ServiceMSHeader)); err == nil {
		result.service = time.Duration(ms) * time.Millisecond
	}
	if n, err := strconv.Atoi(r.Header.Get(BytesHeader)); err == nil {
		result.bytes = n
	}
	return result, nil
}

// execute runs a counted request and answers with an echo of it.
func (t *Target) execute(w http.ResponseWriter, r *http.Request, run *run, faults TargetFaults) {
	if run.fault == FaultCrash {
		t.crash()
		return
	}
	if !t.work(r, run, faults) {
		return
	}
	content := answerBody(r, run)
	switch run.fault {
	case FaultClose:
		closeConnection(w, "")
	case FaultTruncate:
		closeConnection(w, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(content), content[:len(content)/2]))
	case FaultUnbounded:
		closeConnection(w, fmt.Sprintf("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s", content))
	case FaultSilent:
		<-r.Context().Done()
	case FaultChunked:
		writeChunks(w, content)
	default:
		w.Header().Set("Content-Length", strconv.Itoa(len(content)))
		_, _ = w.Write(content)
	}
}

// work takes the service time, and reports false when the caller left before its end.
func (t *Target) work(r *http.Request, run *run, faults TargetFaults) bool {
	duration := faults.ServiceTime + run.service
	if time.Since(t.started) < faults.ColdFor {
		duration *= time.Duration(max(1, faults.ColdFactor))
	}
	if duration == 0 {
		return true
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// answerBody echoes the request and fills up with a repeated token, so that a mixed-up or cut body shows.
func answerBody(r *http.Request, run *run) []byte {
	content := fmt.Appendf(nil, "%s %s token=%s body=%d\n", r.Method, r.URL.RequestURI(), run.token, len(run.body))
	if missing := run.bytes - len(content); missing > 0 {
		filler := []byte(run.token + ".")
		content = append(content, bytes.Repeat(filler, missing/len(filler)+1)[:missing]...)
	}
	return content
}

func writeChunks(w http.ResponseWriter, content []byte) {
	const chunkBytes = 32 << 10
	for len(content) > 0 {
		n := min(chunkBytes, len(content))
		_, _ = w.Write(content[:n])
		_ = http.NewResponseController(w).Flush()
		content = content[n:]
	}
}

// closeConnection writes raw bytes and closes the connection.
func closeConnection(w http.ResponseWriter, raw string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, raw)
	_ = conn.Close()
}
