package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/gravitational/trace"

	"github.com/basillink/basillink/internal/transport"
)

// Limits of one request to an admin listener.
const (
	adminTimeout        = 2 * time.Second
	maxAdminAnswerBytes = 4 << 20
)

// AdminError reports an answer from an admin listener with a status other than 200.
type AdminError struct {
	Address string
	Path    string
	Status  int
}

func (e *AdminError) Error() string {
	return fmt.Sprintf("admin listener %s: GET %s: status %d", e.Address, e.Path, e.Status)
}

// getAdminJSON sends GET path to the admin listener at address and decodes the JSON answer into result.
func getAdminJSON(ctx context.Context, address, path string, result any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	pool := transport.NewPool(address, 1)
	defer pool.CloseIdle()
	request, answer := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(answer)
	request.SetRequestURI("http://" + address + path)
	if err := pool.Exchange(ctx, request, answer, maxAdminAnswerBytes); err != nil {
		return err
	}
	if answer.StatusCode() != http.StatusOK {
		return &AdminError{Address: address, Path: path, Status: answer.StatusCode()}
	}
	return trace.Wrap(json.Unmarshal(answer.Body(), result))
}
