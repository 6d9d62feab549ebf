package logservice

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/gravitational/trace"

	"github.com/basillink/basillink/internal/transport"
)

// Limits of the client.
const (
	maxConnections = 4
	maxAnswerBytes = 64 << 20
	// requestTimeout is the 5 s that a slow platform takes to answer, plus a margin.
	requestTimeout = 8 * time.Second
)

// StatusError reports an answer of the platform with another status than 200.
type StatusError struct {
	// Operation is the method and path of the request.
	Operation string
	Status    int
	Body      string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("platform: %s: status %d: %s", e.Operation, e.Status, e.Body)
}

// Client calls the platform over HTTP. It implements Log and InstanceList and is safe for concurrent use.
type Client struct {
	address string
	pool    *transport.Pool
}

// NewClient returns a client of the platform at an address such as "127.0.0.1:7000". It opens no connection; the calls do.
func NewClient(address string) *Client {
	return &Client{address: address, pool: transport.NewPool(address, maxConnections)}
}

type appendAnswer struct {
	Offset Offset `json:"offset"`
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, payload []byte) (Offset, error) {
	var answer appendAnswer
	err := c.call(ctx, "POST", "/records", payload, &answer)
	return answer.Offset, err
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, from Offset, max int, wait time.Duration) (Page, error) {
	var page Page
	path := fmt.Sprintf("/records?from=%d&max=%d&wait_ms=%d", from, max, wait.Milliseconds())
	err := c.call(ctx, "GET", path, nil, &page)
	return page, err
}

// Instances implements InstanceList.
func (c *Client) Instances(ctx context.Context) ([]ListedInstance, error) {
	var list []ListedInstance
	err := c.call(ctx, "GET", "/instances", nil, &list)
	return list, err
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, result any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, answer := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(answer)
	request.SetMethod(method)
	request.SetRequestURI("http://" + c.address + path)
	if body != nil {
		request.SetBody(body)
	}
	if err := c.pool.Exchange(ctx, request, answer, maxAnswerBytes); err != nil {
		return trace.Wrap(err, "%s %s", method, path)
	}
	if answer.StatusCode() != 200 {
		return trace.Wrap(&StatusError{Operation: method + " " + path, Status: answer.StatusCode(), Body: string(answer.Body())})
	}
	return trace.Wrap(json.Unmarshal(answer.Body(), result), "%s %s", method, path)
}
