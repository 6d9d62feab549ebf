package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store with keyed topics of one partition. It loses nothing and answers in 4 ms.
type store struct {
	mu       sync.Mutex
	topics   map[string][]record
	listener net.Listener
}

// record is a keyed record. A nil value deletes the key.
type record struct {
	key   string
	value []byte
}

const storeAnswerTime = 4 * time.Millisecond

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{topics: map[string][]record{}, listener: listener}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/log-newest", s.newest)
	mux.HandleFunc("GET /-/log-read", s.read)
	mux.HandleFunc("POST /-/log-append", s.handleAppend)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeAnswerTime)
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(listener) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put appends a record with a JSON value.
func (s *store) put(topic, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.add(topic, record{key, b})
}

// remove deletes a key.
func (s *store) remove(topic, key string) { s.add(topic, record{key, nil}) }

func (s *store) add(topic string, r record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], r)
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.topics[r.URL.Query().Get("topic")]
	after := r.URL.Query().Get("after")
	last := map[string]int{}
	for i, rec := range records {
		last[rec.key] = i
	}
	keys := []string{}
	for key, i := range last {
		if records[i].value != nil && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	const pageSize = 500
	page := keys[:min(len(keys), pageSize)]
	items := make([]map[string]any, 0, len(page))
	for _, key := range page {
		items = append(items, map[string]any{
			"key": key, "value": base64.StdEncoding.EncodeToString(records[last[key]].value), "offset": last[key],
		})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "hasMore": len(page) < len(keys), "end": len(records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.topics[r.URL.Query().Get("topic")]
	body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	body = binary.BigEndian.AppendUint64(body, 0)
	const maxBytes = 1 << 20
	for _, rec := range records[min(from, len(records)):] {
		if len(body) > maxBytes {
			break
		}
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(rec.key)+len(rec.value)))
		body = append(append(append(body, byte(len(rec.key))), rec.key...), rec.value...)
	}
	_, _ = w.Write(body)
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	topic := r.URL.Query().Get("topic")
	if err != nil || topic == topicConfig || topic == topicServers {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	offset := len(s.topics[topic])
	s.mu.Unlock()
	count := 0
	for len(body) >= 5 {
		length := int(binary.BigEndian.Uint32(body))
		content := body[4 : 4+length]
		rec := record{key: string(content[1 : 1+content[0]])}
		if value := content[1+content[0]:]; len(value) > 0 {
			rec.value = append([]byte(nil), value...)
		}
		s.add(topic, rec)
		count++
		body = body[4+length:]
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"offset":%d,"end":%d}`, offset, offset+count)
}

const (
	topicConfig  = "keyed.op"
	topicServers = "keyed.servers"
)
