package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/basillink/basillink/internal/logservice"
)

const (
	// callTimeout limits each call, including the time to connect. A call within a region takes a few milliseconds.
	callTimeout = time.Second
	// idleTimeout is the time after which a connection without calls is closed. With 200 instances, two of them
	// exchange messages every 40 s.
	idleTimeout = 2 * time.Minute
	dialBackoff = 100 * time.Millisecond
	maxBackoff  = 5 * time.Second
	// maxConns limits the outgoing connections in the pool.
	maxConns = 512
)

// keepAlive enables TCP keep-alive probes, which detect peers that vanished without closing the connection.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 15 * time.Second, Interval: 5 * time.Second, Count: 3}

// DialContext dials peers. Tests replace it before a node runs to simulate network partitions.
var DialContext = (&net.Dialer{KeepAliveConfig: keepAlive}).DialContext

// connPool holds the outgoing connections by peer address. It is safe for concurrent use.
type connPool struct {
	secret string

	mu     sync.Mutex
	random *rand.Rand
	byAddr map[string]*peerConn
}

// peerConn is the connection to one address.
type peerConn struct {
	// lastUsed is the wall-clock time of the last call in nanoseconds since the Unix epoch.
	lastUsed atomic.Int64
	// dialSlot is a lock of capacity 1 that is held by connect. It is a channel so that a call that waits for the dial
	// of another call can time out.
	dialSlot chan struct{}

	// The fields below are guarded by dialSlot.
	backoff  logservice.Backoff
	nextDial time.Time

	mu     sync.Mutex
	client *rpc.Client
}

func newConnPool(secret string, random *rand.Rand) *connPool {
	return &connPool{secret: secret, random: random, byAddr: map[string]*peerConn{}}
}

// call performs one RPC within callTimeout, including the time to connect. A connection whose call failed or timed out
// is closed, because it may be dead or out of sync; the next call opens a new one. A call that was sent but not answered
// in time returns a *TimeoutError.
func (p *connPool) call(ctx context.Context, address, method string, request, response any) error {
	timed, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c := p.get(address)
	client, err := p.connect(timed, c, address)
	if err != nil {
		return err
	}
	call := client.Go(method, request, response, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error != nil {
			c.closeClient(client)
		}
		return trace.Wrap(call.Error, "%s at %s", method, address)
	case <-timed.Done():
		c.closeClient(client)
		if ctx.Err() != nil {
			return trace.Wrap(ctx.Err())
		}
		return &TimeoutError{Method: method, Address: address, Timeout: callTimeout}
	}
}

// get returns the entry of an address and creates it if necessary.
func (p *connPool) get(address string) *peerConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.byAddr[address]
	if c == nil {
		p.evict()
		c = &peerConn{dialSlot: make(chan struct{}, 1), backoff: logservice.Backoff{Base: dialBackoff, Max: maxBackoff}}
		p.byAddr[address] = c
	}
	c.lastUsed.Store(time.Now().UnixNano())
	return c
}

// evict closes connections unused for idleTimeout, and the least recently used one if the pool is still full. p.mu must
// be held.
func (p *connPool) evict() {
	idleBefore := time.Now().Add(-idleTimeout).UnixNano()
	var oldest string
	for address, c := range p.byAddr {
		if c.lastUsed.Load() < idleBefore {
			c.closeClient(nil)
			delete(p.byAddr, address)
		} else if oldest == "" || c.lastUsed.Load() < p.byAddr[oldest].lastUsed.Load() {
			oldest = address
		}
	}
	if len(p.byAddr) >= maxConns {
		p.byAddr[oldest].closeClient(nil)
		delete(p.byAddr, oldest)
	}
}

// nextBackoff returns the next delay of b. The random source of the pool is guarded by p.mu.
func (p *connPool) nextBackoff(b *logservice.Backoff) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return b.Next(p.random)
}

// close closes all connections.
func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.byAddr {
		c.closeClient(nil)
	}
}

// connect returns the open connection or dials a new one. It returns a *BackoffError if the last attempt failed and its
// backoff has not passed.
func (p *connPool) connect(ctx context.Context, c *peerConn, address string) (*rpc.Client, error) {
	select {
	case c.dialSlot <- struct{}{}:
		defer func() { <-c.dialSlot }()
	case <-ctx.Done():
		return nil, trace.Wrap(ctx.Err())
	}
	if client := c.currentClient(); client != nil {
		return client, nil
	}
	if remaining := time.Until(c.nextDial); remaining > 0 {
		return nil, &BackoffError{Address: address, Remaining: remaining}
	}
	client, err := p.dial(ctx, address)
	if err != nil {
		c.nextDial = time.Now().Add(p.nextBackoff(&c.backoff))
		return nil, err
	}
	c.backoff.Reset()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.client = client
	return client, nil
}

// currentClient returns the open client or nil.
func (c *peerConn) currentClient() *rpc.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.client
}

// closeClient closes client, or the current client if client is nil.
func (c *peerConn) closeClient(client *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if client == nil {
		client = c.client
	}
	if client == nil {
		return
	}
	_ = client.Close()
	if c.client == client {
		c.client = nil
	}
}

// dial opens a connection and performs the handshake.
func (p *connPool) dial(ctx context.Context, address string) (*rpc.Client, error) {
	conn, err := DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	sameTypes, err := handshakeClient(conn, p.secret)
	if err != nil {
		_ = conn.Close()
		return nil, trace.Wrap(err, "handshake with %s", address)
	}
	return rpc.NewClientWithCodec(newCodec(conn, 0, sameTypes)), nil
}
