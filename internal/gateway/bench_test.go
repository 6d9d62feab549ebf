package gateway

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"testing"
)

const benchAnswer = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTarget-Load: 1\r\nContent-Length: 100\r\n\r\n"

// BenchmarkServe measures calls through the gateway on one connection. Caller and target read and write fixed bytes, so
// that nearly all time and allocations are those of the gateway.
func BenchmarkServe(b *testing.B) {
	for _, bench := range []struct {
		name string
		size int
	}{{"100B", 100}, {"1MB", 1 << 20}} {
		b.Run(bench.name, func(b *testing.B) {
			head := strings.Replace(benchAnswer, "100", strconv.Itoa(bench.size), 1)
			address := fixedTarget(b, []byte(head+strings.Repeat("x", bench.size)))
			f := newFixture(b, address)
			conn, err := net.Dial("tcp", f.address)
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReaderSize(conn, 64<<10)
			request := []byte("GET /desk/slots?day=sat HTTP/1.1\r\nHost: desk\r\nUser-Agent: club\r\nAccept: */*\r\nX-Token: t1\r\n\r\n")
			b.ReportAllocs()
			for b.Loop() {
				callOnce(b, conn, reader, request, bench.size)
			}
		})
	}
}

// callOnce writes a request and reads an answer with a body of the given size without allocating.
func callOnce(b *testing.B, conn net.Conn, reader *bufio.Reader, request []byte, size int) {
	if _, err := conn.Write(request); err != nil {
		b.Fatal(err)
	}
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			b.Fatal(err)
		}
		if len(line) == 2 {
			break
		}
	}
	if _, err := reader.Discard(size); err != nil {
		b.Fatal(err)
	}
}

// fixedTarget starts a target that answers each request with the same bytes and returns its address.
func fixedTarget(b *testing.B, answer []byte) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerHeads(conn, answer)
		}
	}()
	return listener.Addr().String()
}

func answerHeads(conn net.Conn, answer []byte) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return
		}
		if len(line) != 2 {
			continue
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
	}
}
