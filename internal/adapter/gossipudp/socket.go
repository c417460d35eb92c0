package gossipudp

import (
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

const (
	// maxDatagram is the size of the largest datagram that is read. Longer datagrams
	// are truncated and fail to decode.
	maxDatagram = 2048
	// receiveBuffer holds a few rounds of the datagrams that all peers of a failure
	// domain send at the same time.
	receiveBuffer = 1 << 20
)

// AddressError reports that an address is not an IP address and a port.
type AddressError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *AddressError) Error() string { return fmt.Sprintf("address %q: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *AddressError) Unwrap() error { return e.Err }

// Stats counts datagrams and their payload bytes, without IP and UDP headers.
type Stats struct {
	Sent          uint64 `json:"sent"`
	Received      uint64 `json:"received"`
	BytesSent     uint64 `json:"bytes_sent"`
	BytesReceived uint64 `json:"bytes_received"`
	SendErrors    uint64 `json:"send_errors"`
	// Rejected counts the received datagrams whose authentication code matches no key.
	Rejected uint64 `json:"rejected"`
}

// Socket sends and receives datagrams. It is safe for concurrent use.
type Socket struct {
	conn *net.UDPConn
	keys *Keys

	sent, received, bytesSent, bytesReceived, socketErrors, rejected atomic.Uint64
}

// publishedStats holds the counters of each socket of the process by socket name.
var publishedStats = expvar.NewMap("gossipudp")

// Listen opens a socket. The name labels its counters in expvar; without a name they
// are not published. With keys, datagrams are authenticated, and those without a valid
// authentication code are dropped.
func Listen(address, name string, keys *Keys) (*Socket, error) {
	local, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, &AddressError{Address: address, Err: err}
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	// The kernel may grant a smaller buffer than requested. That is no error: datagrams
	// are only lost earlier under load.
	_ = conn.SetReadBuffer(receiveBuffer)
	s := &Socket{conn: conn, keys: keys}
	if name != "" {
		publishedStats.Set(name, expvar.Func(func() any { return s.Stats() }))
	}
	return s, nil
}

// Address returns the local address.
func (s *Socket) Address() string { return s.conn.LocalAddr().String() }

// Send sends a datagram. Delivery is not guaranteed.
func (s *Socket) Send(address string, data []byte) error {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return &AddressError{Address: address, Err: err}
	}
	data = s.keys.sign(data)
	if _, err := s.conn.WriteToUDPAddrPort(data, to); err != nil {
		s.socketErrors.Add(1)
		return eris.Wrapf(err, "send to %s", address)
	}
	s.sent.Add(1)
	s.bytesSent.Add(uint64(len(data)))
	return nil
}

// Serve passes each datagram to handle until the socket is closed. The data is
// valid only during the call.
func (s *Socket) Serve(handle func(from string, data []byte)) error {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// An ICMP error for an earlier send is reported here. The socket remains
			// usable.
			s.socketErrors.Add(1)
			continue
		}
		s.received.Add(1)
		s.bytesReceived.Add(uint64(n))
		data, ok := s.keys.verify(buffer[:n])
		if !ok {
			s.rejected.Add(1)
			continue
		}
		handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String(), data)
	}
}

// Stats returns the counters since the start.
func (s *Socket) Stats() Stats {
	return Stats{
		Sent:          s.sent.Load(),
		Received:      s.received.Load(),
		BytesSent:     s.bytesSent.Load(),
		BytesReceived: s.bytesReceived.Load(),
		SendErrors:    s.socketErrors.Load(),
		Rejected:      s.rejected.Load(),
	}
}

// Close closes the socket.
func (s *Socket) Close() error { return s.conn.Close() }
