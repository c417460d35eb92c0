package main

import (
	"bytes"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against endpoints whose announcements have a header without end: with a hundred of
// them at once, a replica kept 1 MiB for each and exceeded the memory of a small VM.
func TestEndlessHeadersOfAnnouncementsAreCutOff(t *testing.T) {
	const connections, maxHeap = 100, 32 << 20
	g := NewWithT(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := newControlServer(http.NotFoundHandler())
	go func() { _ = server.Serve(listener) }()
	defer server.Close()

	var closed atomic.Int64
	var senders sync.WaitGroup
	runtime.GC()
	var before runtime.MemStats
	runtime.ReadMemStats(&before)
	for range connections {
		senders.Go(func() {
			conn, err := net.Dial("tcp4", listener.Addr().String())
			if err != nil {
				return
			}
			defer conn.Close()
			_, _ = conn.Write([]byte("PUT /instances/i HTTP/1.1\r\nHost: h\r\nX: "))
			chunk := bytes.Repeat([]byte("x"), 8<<10)
			for sent := 0; sent < 4<<20; sent += len(chunk) {
				if _, err := conn.Write(chunk); err != nil {
					closed.Add(1)
					return
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
	peak := uint64(0)
	done := make(chan struct{})
	go func() { senders.Wait(); close(done) }()
	for running := true; running; {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		peak = max(peak, stats.HeapInuse-min(stats.HeapInuse, before.HeapInuse))
		select {
		case <-done:
			running = false
		case <-time.After(5 * time.Millisecond):
		}
	}
	g.Expect(closed.Load()).To(BeNumerically("==", connections))
	g.Expect(peak).To(BeNumerically("<", maxHeap))
}
