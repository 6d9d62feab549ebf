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

const (
	adminTimeout        = 2 * time.Second
	maxAdminAnswerBytes = 4 << 20
)

// AdminError is an answer of an admin listener that is not 200.
type AdminError struct {
	Address string
	Path    string
	Status  int
}

func (e *AdminError) Error() string {
	return fmt.Sprintf("admin listener %s: GET %s: status %d", e.Address, e.Path, e.Status)
}

// askAdmin reads a JSON document from an admin listener.
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
