package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"

	"github.com/basillink/basillink/internal/inbound"
)

// quietConn is a connection on which nothing happens.
type quietConn struct{ network.Conn }

func (quietConn) SetReadDeadline(time.Time) error { return nil }
func (quietConn) Close() error                    { return nil }

// Guards against an answer that lets the caller send its next request on a connection that is closed because it was evicted.
func TestAnswerOnEvictedConnectionAnnouncesClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		connections := inbound.Connections{Limit: 1}
		kept := connections.Add(context.Background(), quietConn{})
		for _, evicted := range []bool{false, true} {
			if evicted {
				time.Sleep(2 * time.Second)
				connections.Add(context.Background(), quietConn{})
			}
			c := app.NewContext(0)
			(&Gateway{}).beginAnswer(c, &call{conn: kept})
			if closing := c.Response.Header.ConnectionClose(); kept.Evicted() != evicted || closing != evicted {
				t.Errorf("evicted %t, want %t; the answer announces the end of the connection: %t", kept.Evicted(), evicted, closing)
			}
		}
	})
}
