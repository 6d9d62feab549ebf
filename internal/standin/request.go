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

// Headers by which a test controls how a target handles one request.
const (
	// TokenHeader holds a token. The target echoes it in the body of the answer and counts executions by token.
	TokenHeader = "X-Token"
	// FaultHeader selects the Fault of this request.
	FaultHeader = "X-Fault"
	// ServiceMSHeader adds to the service time, in milliseconds.
	ServiceMSHeader = "X-Service-Ms"
	// BytesHeader sets the minimum length of the body of the answer.
	BytesHeader = "X-Bytes"
)

// Fault is a fault that a target injects into one request.
type Fault string

// Values of FaultHeader.
const (
	// FaultNone answers normally.
	FaultNone Fault = ""
	// FaultShed answers with status 503 without running the request.
	FaultShed Fault = "shed"
	// FaultClose runs the request and closes the connection without an answer.
	FaultClose Fault = "close"
	// FaultTruncate runs the request and closes the connection after half of the body.
	FaultTruncate Fault = "cut"
	// FaultSilent runs the request and never answers, but leaves the connection open.
	FaultSilent Fault = "silent"
	// FaultUnbounded answers without a content length and ends the body by closing the connection.
	FaultUnbounded Fault = "unbounded"
	// FaultChunked answers with chunked transfer encoding.
	FaultChunked Fault = "chunked"
	// FaultCrash stops the target instead of running the request to its end.
	FaultCrash Fault = "crash"
)

// defaultTimeout is how long a request without a deadline waits for a slot.
const defaultTimeout = time.Minute

// targetRequest holds the parameters of one request to a target.
type targetRequest struct {
	token       string
	fault       Fault
	body        []byte
	timeout     time.Duration
	serviceTime time.Duration
	answerBytes int
}

// parseRequest reads the headers and the whole body of a request. Missing or malformed headers have their defaults.
func parseRequest(r *http.Request) (*targetRequest, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	request := &targetRequest{
		token:   r.Header.Get(TokenHeader),
		fault:   Fault(r.Header.Get(FaultHeader)),
		body:    body,
		timeout: defaultTimeout,
	}
	if ms, err := strconv.Atoi(r.Header.Get(header.TimeoutMS)); err == nil {
		request.timeout = time.Duration(ms) * time.Millisecond
	}
	if ms, err := strconv.Atoi(r.Header.Get(ServiceMSHeader)); err == nil {
		request.serviceTime = time.Duration(ms) * time.Millisecond
	}
	if n, err := strconv.Atoi(r.Header.Get(BytesHeader)); err == nil {
		request.answerBytes = n
	}
	return request, nil
}

// execute runs a request that holds a slot and answers with an echo of it, unless a fault prevents that.
func (t *Target) execute(w http.ResponseWriter, r *http.Request, request *targetRequest, faults TargetFaults) {
	if request.fault == FaultCrash {
		t.crash()
		return
	}
	if !t.waitServiceTime(r, request, faults) {
		return
	}
	content := answerBody(r, request)
	switch request.fault {
	case FaultClose:
		writeAndClose(w, "")
	case FaultTruncate:
		writeAndClose(w, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(content), content[:len(content)/2]))
	case FaultUnbounded:
		writeAndClose(w, fmt.Sprintf("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s", content))
	case FaultSilent:
		<-r.Context().Done()
	case FaultChunked:
		writeChunks(w, content)
	default:
		w.Header().Set("Content-Length", strconv.Itoa(len(content)))
		_, _ = w.Write(content)
	}
}

// waitServiceTime waits for the service time, and returns false if the caller closes the connection before its end.
func (t *Target) waitServiceTime(r *http.Request, request *targetRequest, faults TargetFaults) bool {
	duration := faults.ServiceTime + request.serviceTime
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

// answerBody returns an echo of the request, padded with the repeated token so that mixed-up or truncated bodies can be
// detected.
func answerBody(r *http.Request, request *targetRequest) []byte {
	content := fmt.Appendf(nil, "%s %s token=%s body=%d\n", r.Method, r.URL.RequestURI(), request.token, len(request.body))
	if missing := request.answerBytes - len(content); missing > 0 {
		filler := []byte(request.token + ".")
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

// writeAndClose writes raw bytes to the connection and closes it.
func writeAndClose(w http.ResponseWriter, raw string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, raw)
	_ = conn.Close()
}
