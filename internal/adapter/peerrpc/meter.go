package peerrpc

import (
	"expvar"
	"net"
	"sync/atomic"
	"time"
)

// writeChunkBytes is the number of bytes that share one write deadline, so that a
// long message on a slow path does not count as a silent connection.
const writeChunkBytes = 32 << 10

// Stats are the counters of a node since its start.
type Stats struct {
	// BytesSent and BytesReceived count TCP payload including TLS, without IP and TCP headers.
	BytesSent     uint64 `json:"bytes_sent"`
	BytesReceived uint64 `json:"bytes_received"`
	// Calls counts calls and notifications made.
	Calls uint64 `json:"calls"`
	// Served counts the handler runs for other daemons.
	Served uint64 `json:"served"`
	// Panics counts the handler runs that failed unexpectedly.
	Panics uint64 `json:"panics"`
	// Refused counts the incoming calls refused by the limits of calls and results in
	// flight.
	Refused uint64 `json:"refused"`
	// ReplyBytes is the size of the results that are being sent.
	ReplyBytes int64  `json:"reply_bytes"`
	Dials      uint64 `json:"dials"`
	// Silent counts the connections closed because a probe was not answered in time.
	Silent uint64 `json:"silent"`
}

type meter struct {
	sent, received, calls, served, panics, refused, dials, silent atomic.Uint64
}

func (m *meter) stats() Stats {
	return Stats{
		BytesSent:     m.sent.Load(),
		BytesReceived: m.received.Load(),
		Calls:         m.calls.Load(),
		Served:        m.served.Load(),
		Panics:        m.panics.Load(),
		Refused:       m.refused.Load(),
		Dials:         m.dials.Load(),
		Silent:        m.silent.Load(),
	}
}

// publishedStats holds the counters of each node of the process by node name.
var publishedStats = expvar.NewMap("peerrpc")

func (m *meter) publish(name string) {
	publishedStats.Set(name, expvar.Func(func() any { return m.stats() }))
}

// meteredConn counts bytes and sets a deadline for each write.
type meteredConn struct {
	net.Conn
	meter *meter
	// onRead is called after bytes arrived.
	onRead func()
}

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.meter.received.Add(uint64(n))
		if c.onRead != nil {
			c.onRead()
		}
	}
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		chunk := p[written:min(len(p), written+writeChunkBytes)]
		if err := c.SetWriteDeadline(time.Now().Add(SilenceTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(chunk)
		written += n
		c.meter.sent.Add(uint64(n))
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
