package inbound

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"

	"github.com/basillink/basillink/internal/membudget"
)

// stallConn records whether its reading was ended or it was closed.
type stallConn struct {
	network.Conn
	ended, closed atomic.Bool
}

func (c *stallConn) SetReadDeadline(t time.Time) error {
	c.ended.Store(t.Before(time.Now()))
	return nil
}

func (c *stallConn) Close() error {
	c.closed.Store(true)
	return nil
}

// addStalled tracks a connection in a phase.
func addStalled(c *Connections, p phase) (*Conn, *stallConn) {
	conn := &stallConn{}
	entry := c.Add(context.Background(), conn)
	if entry != nil {
		entry.setPhase(p)
	}
	return entry, conn
}

// Guards against memory that callers without progress keep from others, and against the closing of connections whose requests make
// progress or run.
func TestMemoryIsTakenFromStalledCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c Connections
		budget := membudget.New(1000)
		holder, conn := addStalled(&c, receiving)
		memory := budget.OpenEmpty()
		if !holder.Grow(memory, 700, membudget.ForBody) {
			t.Fatal("the first request got no memory")
		}
		_, running := addStalled(&c, serving)
		steady, steadyConn := addStalled(&c, receiving)
		other, _ := addStalled(&c, receiving)
		if other.Grow(budget.OpenEmpty(), 500, membudget.ForRequest) || conn.ended.Load() {
			t.Error("a request took the memory of one that began just before")
		}
		for range 4 {
			time.Sleep(stallTime / 2)
			steady.Progress()
			other.Progress()
		}
		go func() {
			for !conn.ended.Load() {
				time.Sleep(time.Millisecond)
			}
			memory.Close()
			c.Remove(holder)
		}()
		if !other.Grow(budget.OpenEmpty(), 500, membudget.ForRequest) {
			t.Error("a request did not get the memory of a caller without progress")
		}
		if !holder.Evicted() || steady.Evicted() || steadyConn.ended.Load() || running.closed.Load() {
			t.Error("the wrong connection was closed")
		}
		if counts := c.Closed(); counts.ForMemory != 1 {
			t.Errorf("counts %+v, want 1 for memory", counts)
		}
		if other.Grow(budget.OpenEmpty(), 2000, membudget.ForRequest) || steady.Evicted() {
			t.Error("connections were closed for a request that the budget can never hold")
		}
	})
}

// Guards against new connections that are refused while others make no progress, against ones that are accepted beyond the limit,
// and against idle connections that are closed before those without progress.
func TestConnectionLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := Connections{Limit: 3}
		_, kept := addStalled(&c, idle)
		_, fresh := addStalled(&c, unused)
		busy, _ := addStalled(&c, serving)
		if entry, _ := addStalled(&c, unused); entry != nil {
			t.Error("a connection beyond the limit was accepted although the others are new")
		}
		time.Sleep(2 * stallTime)
		if entry, _ := addStalled(&c, serving); entry == nil || !fresh.ended.Load() || kept.ended.Load() {
			t.Errorf("accepted %t; closed: unused %t, idle %t; want only the unused one closed", entry != nil, fresh.ended.Load(), kept.ended.Load())
		}
		time.Sleep(2 * stallTime)
		if entry, _ := addStalled(&c, serving); entry == nil || !kept.ended.Load() || busy.Evicted() {
			t.Errorf("accepted %t; closed: idle %t, busy %t; want only the idle one closed", entry != nil, kept.ended.Load(), busy.Evicted())
		}
		if counts := c.Closed(); counts.Refused != 1 || counts.ForLimit != 2 {
			t.Errorf("counts %+v, want 1 refused and 2 closed", counts)
		}
	})
}

// Guards against callers who keep what their answers hold by not reading them.
func TestUnreadAnswersAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c Connections
		_, unread := addStalled(&c, answering)
		reader, read := addStalled(&c, answering)
		time.Sleep(2 * stallTime)
		reader.Progress()
		c.CloseUnread()
		if !unread.closed.Load() || read.closed.Load() || c.Closed().Unread != 1 {
			t.Errorf("closed: unread %t, read %t; counts %+v", unread.closed.Load(), read.closed.Load(), c.Closed())
		}
	})
}

// Guards against a request that gets no answer because its first bytes were read just before the idle connection was evicted.
func TestEvictedIdleConnectionServesTheRequestThatWasRead(t *testing.T) {
	c := Connections{Limit: 1}
	var refusal *Refusal
	tracked := &stallConn{}
	entry := c.Add(context.Background(), tracked)
	entry.setPhase(idle)
	stall(entry)
	replay := startReplay(func(conn network.Conn) {
		if _, err := conn.Peek(1); err != nil {
			t.Error(err)
		}
		if c.Add(context.Background(), &stallConn{}) == nil || !entry.Evicted() {
			t.Error("the idle connection was not evicted")
		}
		c.SetBusy(entry, true)
		request := app.NewContext(0)
		request.SetConn(conn)
		limits := fuzzLimits
		limits.Conn = entry
		refusal = limits.ReadRequest(request)
	})
	replay([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	if tracked.closed.Load() || refusal != nil {
		t.Errorf("closed %t, refusal %+v, want the request to be read", tracked.closed.Load(), refusal)
	}
}

// stall makes a connection look as if it made no progress for longer than stallTime.
func stall(entry *Conn) { entry.progressAt.Store(-int64(2 * stallTime)) }

// Guards against requests that are refused although callers without progress hold memory, because another request has just looked
// for such callers.
func TestConcurrentRequestsTakeMemoryFromStalledCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const holders, held, needed = 13, 100, 400
		var c Connections
		var finished atomic.Bool
		budget := membudget.New(holders * held)
		for range holders {
			entry, conn := addStalled(&c, receiving)
			memory := budget.OpenEmpty()
			if !entry.Grow(memory, held, membudget.ForRequest) {
				t.Fatal("a holder got no memory")
			}
			go func() {
				for !conn.ended.Load() && !finished.Load() {
					time.Sleep(100 * time.Microsecond)
				}
				memory.Close()
				c.Remove(entry)
			}()
		}
		time.Sleep(2 * stallTime)
		var group sync.WaitGroup
		for n := range 3 {
			group.Go(func() {
				time.Sleep(time.Duration(n) * time.Millisecond)
				entry, _ := addStalled(&c, receiving)
				if !entry.Grow(budget.OpenEmpty(), needed, membudget.ForRequest) {
					t.Errorf("request %d got no memory", n)
				}
			})
		}
		group.Wait()
		finished.Store(true)
		time.Sleep(time.Millisecond)
	})
}
