package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/basillink/basillink/internal/registry"
	"github.com/basillink/basillink/platform/platformtest"
)

// server is a stand-in of a server: it runs as many requests at a time as it has slots, queues a few more and rejects the rest.
type server struct {
	id, service, zone, address string
	slots                      chan struct{}
	work                       time.Duration
	waiting, runs, rejected    atomic.Int64
	http                       *http.Server
	born                       int64
	// handler answers all requests. A case may replace it.
	handler atomic.Pointer[http.Handler]
}

// maxQueue is the number of requests that wait for a slot of a server.
const maxQueue = 8

func startServer(id, service, zone string, slots int, work time.Duration) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{
		id: id, service: service, zone: zone, address: listener.Addr().String(), slots: make(chan struct{}, slots), work: work,
		born: time.Now().UnixMilli(),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/health", s.health)
	mux.HandleFunc("/", s.serve)
	var handler http.Handler = mux
	s.handler.Store(&handler)
	s.http = &http.Server{
		Handler:     http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { (*s.handler.Load()).ServeHTTP(w, r) }),
		IdleTimeout: 10 * time.Second,
	}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

// heartbeat writes the server's entry to the store. warmup is how much longer the server stays slow after its start.
func (s *server) heartbeat(store *platformtest.Store, sequence int64, warmup time.Duration) {
	store.PutTarget(&registry.Entry{
		ID: s.id, Address: s.address, Service: s.service, Zone: s.zone, Slots: cap(s.slots), Born: s.born, WarmupLeft: warmup,
	}, sequence)
}

func (s *server) addHeaders(h http.Header) {
	h.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d,100", len(s.slots), s.waiting.Load(), cap(s.slots)))
	h.Set("X-Instance-Id", s.id)
}

func (s *server) health(w http.ResponseWriter, _ *http.Request) { s.addHeaders(w.Header()) }

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if r.Header.Get("X-Expected-Instance") != s.id {
		s.reject(w, http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if s.waiting.Add(1) > maxQueue {
		s.waiting.Add(-1)
		s.reject(w, http.StatusServiceUnavailable)
		return
	}
	s.slots <- struct{}{}
	s.waiting.Add(-1)
	s.runs.Add(1)
	time.Sleep(s.work)
	<-s.slots
	s.addHeaders(w.Header())
	w.Header().Set("X-Response-Signature", s.id+"."+id)
	_, _ = fmt.Fprintf(w, "%s served %s\n", s.service, id)
}

func (s *server) reject(w http.ResponseWriter, status int) {
	s.rejected.Add(1)
	w.Header().Set("X-Not-Executed", "1")
	s.addHeaders(w.Header())
	w.WriteHeader(status)
}

// register writes the entries of servers to the store. Their later heartbeats change nothing but the sequence, so that the store
// keeps the entries as they are.
func (l *lab) register(servers []*server) {
	for _, s := range servers {
		s.heartbeat(l.store, 1, 0)
	}
}
