package transport

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
)

// sign is what a check found out about a connection.
type sign int

const (
	// signAlive means that the peer answered.
	signAlive sign = iota
	// signClosed means that the peer closed the connection.
	signClosed
	// signSilent means that nothing came back in time.
	signSilent
)

// pingAnswerBytes bounds the answer to a check.
const pingAnswerBytes = 4 << 10

// verify asks a distrusted connection for a sign of life, and returns it to the pool or closes it. The question is
// "OPTIONS *", the no-operation of HTTP: it starts no request at the target and reads no load. Any answer counts.
func (p *Pool) verify(conn *Conn) sign {
	if conn.readable() {
		p.discard(conn)
		return signClosed
	}
	result := p.ping(conn)
	if result == signAlive {
		p.mu.Lock()
		p.path.noteAlive(conn.opened, time.Now())
		p.mu.Unlock()
	}
	return result
}

// freshAnswers reports whether the target answers on a new connection, which then joins the pool. Without room for
// one it reports true, so that the limit on connections does not keep silent ones alive.
func (p *Pool) freshAnswers() bool {
	if !p.reserve() {
		return true
	}
	ctx, cancel := context.WithTimeout(p.background, checkTimeout)
	defer cancel()
	conn, err := p.dial(ctx)
	return err == nil && p.ping(conn) == signAlive
}

// reserve takes room for a new connection if the limit allows one. Checks are rare and not bound by the rate.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.open >= p.limit {
		return false
	}
	p.open++
	return true
}

// ping runs a check on a connection and hands it to the pool or closes it.
func (p *Pool) ping(conn *Conn) sign {
	ctx, cancel := context.WithTimeout(p.background, checkTimeout)
	defer cancel()
	request := protocol.AcquireRequest()
	defer protocol.ReleaseRequest(request)
	request.Header.SetMethod(http.MethodOptions)
	request.Header.SetRequestURI("*")
	request.Header.SetHost(p.address)
	request.Header.SetNoDefaultContentType(true)

	answer := newAnswer(p, conn, Limits{MaxBufferedBytes: pingAnswerBytes, MaxBodyBytes: pingAnswerBytes})
	defer answer.Close()
	if answer.begin(ctx, eventCheck) != nil {
		return signClosed
	}
	err := conn.run(ctx, request, answer)
	if err == nil {
		answer.finish()
		return signAlive
	}
	answer.drop()
	var timeout net.Error
	if ctx.Err() != nil || errors.As(conn.failed(), &timeout) && timeout.Timeout() {
		return signSilent
	}
	return signClosed
}
