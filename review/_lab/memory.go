package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memoryMB is memoryMb of the settings. The platform kills a process that exceeds it.
	memoryMB = 284
	// uploads is the number of clients that send a long body at the same time, uploadBytes its length (maxBodyBytes is 67108864), and
	// smallUploadBytes the length without the trouble.
	uploads          = 8
	uploadBytes      = 48 << 20
	smallUploadBytes = 4 << 10
	// linkBytesPerS is the bandwidth of a machine's link, 1,000 Mbit/s. The uploads share it.
	linkBytesPerS  = 125_000_000
	uploadPiece    = 256 << 10
	uploadDeadline = 5 * time.Second
	uploadAfter    = 3 * time.Second
	readerTime     = 9 * time.Second
	readerCount    = 12
	readerWork     = 200 * time.Millisecond
	readerDeadline = 2 * time.Second
	readerPause    = 20 * time.Millisecond
	// allowedLosses is the number of requests that a machine may lose on kept connections.
	allowedLosses = 3
)

// largeBodies lets clients read on kept connections while others send bodies within the limits of the configuration. The trouble is
// the length of these bodies: eight of 48 MiB instead of 4 KiB.
func largeBodies(w *world) (bool, error) {
	if err := w.startServers(8, readerWork, readerWork); err != nil {
		return false, err
	}
	if err := w.startEdges(2); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	e := w.edges[0]
	var peak atomic.Int64
	stop := make(chan struct{})
	defer close(stop)
	go w.enforceMemoryLimit(e, stop, &peak)
	var losses atomic.Int64
	var group sync.WaitGroup
	end := time.Now().Add(readerTime)
	for i := range readerCount {
		group.Go(func() { losses.Add(int64(readUntil(w, e, end, i))) })
	}
	time.Sleep(uploadAfter)
	size := smallUploadBytes
	if w.trouble {
		size = uploadBytes
	}
	for i := range uploads {
		group.Go(func() { upload(w, e, i, size) })
	}
	group.Wait()
	w.note("%s used up to %d MB of %d MB", e.id, peak.Load(), memoryMB)
	w.note("%d requests on kept connections were passed on to a server and lost; the rule allows %d", losses.Load(), allowedLosses)
	return losses.Load() > allowedLosses, nil
}

// enforceMemoryLimit does what the platform does: it kills a process that exceeds its memory, and starts it again.
func (w *world) enforceMemoryLimit(e *edge, stop chan struct{}, peak *atomic.Int64) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		used := e.residentMB()
		peak.Store(max(peak.Load(), int64(used)))
		if used <= memoryMB {
			continue
		}
		w.note("%s uses %.0f MB, more than memoryMb, and is killed", e.id, used)
		e.signal(syscall.SIGKILL)
		<-e.exited
		time.Sleep(restartAfter)
		if err := e.start(); err != nil {
			w.note("%v", err)
			return
		}
		w.note("%s starts again", e.id)
	}
}

// readUntil sends reads on a kept connection until the end. It returns how many of them were passed on to a server whose answer
// never came because the connection ended.
func readUntil(w *world, e *edge, end time.Time, number int) (losses int) {
	var c *client
	for n := 0; time.Now().Before(end); n++ {
		if c == nil {
			var err error
			if c, err = dial(e.front()); err != nil {
				time.Sleep(readerWork)
				continue
			}
		}
		id := fmt.Sprintf("read%02d-%03d", number, n)
		sentAt := time.Now()
		r := c.do(http.MethodGet, safePath+"2f", id, readerDeadline)
		runs := len(w.runs.of(id))
		w.note("%s: after %d ms %s, ran %d times", id, time.Since(sentAt).Milliseconds(), r, runs)
		// A read that ended at the client's deadline was not cut off by the machine.
		if r.err != nil && runs > 0 && n > 0 && time.Since(sentAt) < readerDeadline {
			losses++
		}
		if r.err != nil || r.closing {
			c.close()
			c = nil
		}
		time.Sleep(readerPause)
	}
	if c != nil {
		c.close()
	}
	return losses
}

// upload sends a booking with a body at its share of the link's bandwidth.
func upload(w *world, e *edge, number, size int) {
	c, err := dial(e.front())
	if err != nil {
		w.note("upload %d: %v", number, err)
		return
	}
	defer c.close()
	id := fmt.Sprintf("upload%d", number)
	start := time.Now()
	request := head(http.MethodPost, unsafePath+"2f", id, uploadDeadline, fmt.Sprintf("Content-Length: %d", size))
	if _, err := io.WriteString(c.conn, request); err != nil {
		w.note("%s: %v", id, err)
		return
	}
	piece := make([]byte, uploadPiece)
	for sent := 0; sent < size; {
		n, err := c.conn.Write(piece[:min(len(piece), size-sent)])
		if err != nil {
			w.note("%s: cut off after %d of %d bytes: %v", id, sent, size, err)
			return
		}
		sent += n
		time.Sleep(time.Until(start.Add(time.Duration(sent) * time.Second * uploads / linkBytesPerS)))
	}
	w.note("%s: %d bytes sent in %d ms", id, size, time.Since(start).Milliseconds())
	w.note("%s: %s, ran %d times", id, c.readReply(start.Add(uploadDeadline)), len(w.runs.of(id)))
}
