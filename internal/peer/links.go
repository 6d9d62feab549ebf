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
	// callTimeout is the timer of each call. A call inside a region takes a few milliseconds.
	callTimeout = time.Second
	// idleTimeout closes connections without a call. With 200 instances a pair talks every 40 s.
	idleTimeout = 2 * time.Minute
	dialBackoff = 100 * time.Millisecond
	maxBackoff  = 5 * time.Second
	// maxLinks bounds the connections that are kept.
	maxLinks = 512
)

// keepAlive makes the kernel check connections that are silent.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 15 * time.Second, Interval: 5 * time.Second, Count: 3}

// DialContext opens the connections to peers. It is replaced only before a node runs, by tests that cut a fleet in two.
var DialContext = (&net.Dialer{KeepAliveConfig: keepAlive}).DialContext

// links keeps the outgoing connections. It is safe for concurrent use.
type links struct {
	secret string

	mu     sync.Mutex
	random *rand.Rand
	byAddr map[string]*link
}

// link is the connection to one address.
type link struct {
	lastUsed atomic.Int64
	// turn is held by the call that opens a connection, so that others wait for it no longer than their timer.
	turn chan struct{}

	// The fields below belong to the holder of turn.
	backoff  logservice.Backoff
	notUntil time.Time

	mu     sync.Mutex
	client *rpc.Client
}

func newLinks(secret string, random *rand.Rand) *links {
	return &links{secret: secret, random: random, byAddr: map[string]*link{}}
}

// call runs one call with its own timer, which also covers opening a connection. A connection whose call was not
// answered in time is closed, because it is silent or out of step; the next call opens a new one.
func (l *links) call(ctx context.Context, address, method string, request, answer any) error {
	timed, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	k := l.link(address)
	client, err := l.connect(timed, k, address)
	if err != nil {
		return err
	}
	call := client.Go(method, request, answer, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error != nil {
			k.drop(client)
		}
		return trace.Wrap(call.Error, "%s at %s", method, address)
	case <-timed.Done():
		k.drop(client)
		if ctx.Err() != nil {
			return trace.Wrap(ctx.Err())
		}
		return &TimeoutError{Method: method, Address: address, Timeout: callTimeout}
	}
}

func (l *links) link(address string) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.byAddr[address]
	if k == nil {
		l.evict()
		k = &link{turn: make(chan struct{}, 1), backoff: logservice.Backoff{Base: dialBackoff, Max: maxBackoff}}
		l.byAddr[address] = k
	}
	k.lastUsed.Store(time.Now().UnixNano())
	return k
}

// evict closes connections without recent calls, and the least recently used one when there are too many.
func (l *links) evict() {
	limit := time.Now().Add(-idleTimeout).UnixNano()
	var oldest string
	for address, k := range l.byAddr {
		if k.lastUsed.Load() < limit {
			k.drop(nil)
			delete(l.byAddr, address)
		} else if oldest == "" || k.lastUsed.Load() < l.byAddr[oldest].lastUsed.Load() {
			oldest = address
		}
	}
	if len(l.byAddr) >= maxLinks {
		l.byAddr[oldest].drop(nil)
		delete(l.byAddr, oldest)
	}
}

// pause returns the next step of a backoff.
func (l *links) pause(b *logservice.Backoff) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return b.Next(l.random)
}

// close closes all connections.
func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.byAddr {
		k.drop(nil)
	}
}

// connect returns the open connection or opens one, unless the last attempt failed a moment ago.
func (l *links) connect(ctx context.Context, k *link, address string) (*rpc.Client, error) {
	select {
	case k.turn <- struct{}{}:
		defer func() { <-k.turn }()
	case <-ctx.Done():
		return nil, trace.Wrap(ctx.Err())
	}
	if client := k.current(); client != nil {
		return client, nil
	}
	if left := time.Until(k.notUntil); left > 0 {
		return nil, &BackoffError{Address: address, Remaining: left}
	}
	client, err := l.open(ctx, address)
	if err != nil {
		k.notUntil = time.Now().Add(l.pause(&k.backoff))
		return nil, err
	}
	k.backoff.Reset()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.client = client
	return client, nil
}

func (k *link) current() *rpc.Client {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.client
}

// drop closes a connection; nil closes the current one.
func (k *link) drop(client *rpc.Client) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if client == nil {
		client = k.client
	}
	if client == nil {
		return
	}
	_ = client.Close()
	if k.client == client {
		k.client = nil
	}
}

func (l *links) open(ctx context.Context, address string) (*rpc.Client, error) {
	conn, err := DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	same, err := handshakeClient(conn, l.secret)
	if err != nil {
		_ = conn.Close()
		return nil, trace.Wrap(err, "handshake with %s", address)
	}
	return rpc.NewClientWithCodec(newCodec(conn, 0, same)), nil
}
