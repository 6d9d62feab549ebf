package transport

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
)

// checkResult is the result of a check of a connection.
type checkResult int

const (
	// checkAlive means that the peer answered.
	checkAlive checkResult = iota
	// checkClosed means that the peer closed the connection or that the check failed without a timeout.
	checkClosed
	// checkSilent means that no answer came within checkTimeout.
	checkSilent
)

// maxPingAnswerBytes bounds the body of the answer to a check.
const maxPingAnswerBytes = 4 << 10

// verify checks a distrusted connection, records the path as alive if the peer answers, and returns the connection to the
// pool or closes it.
func (p *Pool) verify(conn *Conn) checkResult {
	if conn.readable() {
		p.discard(conn)
		return checkClosed
	}
	result := p.ping(conn)
	if result == checkAlive {
		p.mu.Lock()
		p.health.recordAlive(conn.openedAt, time.Now())
		p.mu.Unlock()
	}
	return result
}

// answersOnNewConn reports whether the target answers on a new connection, which then joins the pool. It also returns true
// if the limit on connections allows no new one, so that the limit does not prevent the closing of silent connections.
func (p *Pool) answersOnNewConn() bool {
	if !p.reserveConn() {
		return true
	}
	ctx, cancel := context.WithTimeout(p.baseCtx, checkTimeout)
	defer cancel()
	conn, err := p.dial(ctx)
	return err == nil && p.ping(conn) == checkAlive
}

// reserveConn reserves a new connection if the limit allows one. It ignores openRate, because checks are rare.
func (p *Pool) reserveConn() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.numOpen >= p.maxConns {
		return false
	}
	p.numOpen++
	return true
}

// ping sends a check on a connection and then returns the connection to the pool or closes it. The check is "OPTIONS *",
// the no-op request of HTTP, which starts no work at the target and does not read its load. Any valid answer counts.
func (p *Pool) ping(conn *Conn) checkResult {
	ctx, cancel := context.WithTimeout(p.baseCtx, checkTimeout)
	defer cancel()
	request := protocol.AcquireRequest()
	defer protocol.ReleaseRequest(request)
	request.Header.SetMethod(http.MethodOptions)
	request.Header.SetRequestURI("*")
	request.Header.SetHost(p.address)
	request.Header.SetNoDefaultContentType(true)

	answer := newAnswer(p, conn, Limits{MaxBufferedBytes: maxPingAnswerBytes, MaxBodyBytes: maxPingAnswerBytes})
	defer answer.Close()
	if answer.begin(ctx, eventCheck) != nil {
		return checkClosed
	}
	err := conn.roundTrip(ctx, request, answer)
	if err == nil {
		answer.finish()
		return checkAlive
	}
	answer.abort()
	var timeout net.Error
	if ctx.Err() != nil || errors.As(conn.socketErr(), &timeout) && timeout.Timeout() {
		return checkSilent
	}
	return checkClosed
}
