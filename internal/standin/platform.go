package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"github.com/basillink/basillink/internal/logservice"
)

// maxRecordBytes bounds the size of a request body, which is the payload of one record.
const maxRecordBytes = 16 << 20

// PlatformServer serves a log and an instance list over HTTP, with the protocol of logservice.Client.
type PlatformServer struct {
	Log          *Log
	InstanceList *InstanceList
	address      string
	server       *server.Hertz
}

// NewPlatformServer returns a server for an address of the form host:port. It does not listen yet.
func NewPlatformServer(address string, log *Log, list *InstanceList) *PlatformServer {
	return &PlatformServer{Log: log, InstanceList: list, address: address}
}

// Listen opens the listening socket and returns an error if the address cannot be used. The HTTP server would panic in
// that case.
func (s *PlatformServer) Listen() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.server = server.New(
		server.WithListener(listener),
		server.WithDisablePrintRoute(true),
		server.WithMaxRequestBodySize(maxRecordBytes),
		server.WithExitWaitTime(time.Second),
		server.WithSenseClientDisconnection(true),
	)
	s.server.POST("/records", s.append)
	s.server.GET("/records", s.read)
	s.server.GET("/instances", s.instances)
	return nil
}

// Run serves until Shutdown. It calls Listen unless that was already done.
func (s *PlatformServer) Run() error {
	if s.server == nil {
		if err := s.Listen(); err != nil {
			return err
		}
	}
	return s.server.Run()
}

// Shutdown stops the server. Listen or Run must have been called.
func (s *PlatformServer) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }

func (s *PlatformServer) append(ctx context.Context, c *app.RequestContext) {
	offset, err := s.Log.Append(ctx, c.Request.Body())
	if writeError(c, err) {
		return
	}
	c.JSON(http.StatusOK, map[string]logservice.Offset{"offset": offset})
}

func (s *PlatformServer) read(ctx context.Context, c *app.RequestContext) {
	from, fromErr := strconv.ParseUint(c.DefaultQuery("from", "1"), 10, 64)
	max, maxErr := strconv.Atoi(c.DefaultQuery("max", "256"))
	waitMS, waitErr := strconv.Atoi(c.DefaultQuery("wait_ms", "0"))
	if err := errors.Join(fromErr, maxErr, waitErr); err != nil {
		c.String(http.StatusBadRequest, "%s\n", err)
		return
	}
	page, err := s.Log.Read(ctx, logservice.Offset(from), max, time.Duration(waitMS)*time.Millisecond)
	if writeError(c, err) {
		return
	}
	c.JSON(http.StatusOK, page)
}

func (s *PlatformServer) instances(ctx context.Context, c *app.RequestContext) {
	list, err := s.InstanceList.Instances(ctx)
	if writeError(c, err) {
		return
	}
	c.JSON(http.StatusOK, list)
}

// writeError answers with status 503 if err is not nil, and reports whether it was. For a LostAnswerError it closes the
// connection without an answer.
func writeError(c *app.RequestContext, err error) bool {
	if err == nil {
		return false
	}
	var lost *LostAnswerError
	if errors.As(err, &lost) {
		_ = c.GetConn().Close()
		return true
	}
	c.String(http.StatusServiceUnavailable, "%s\n", err)
	return true
}
