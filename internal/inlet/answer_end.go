package inlet

import (
	"errors"
	"net/http"
)

// Values for SetLinger: a close resets the connection, or ends it in order.
const (
	lingerReset   = 0
	lingerInOrder = -1
)

// ErrAnswerBroken reports a write to the connection of an answer that broke off.
var ErrAnswerBroken = errors.New("answer was broken off")

// lingerer is a connection whose close can be made to reset it, see net.TCPConn.
type lingerer interface{ SetLinger(sec int) error }

// answerEnd is what the close of a connection tells the client about the answer.
type answerEnd int32

const (
	// endMarked means that no answer is under way whose end the close would mark.
	endMarked answerEnd = iota
	// endByClose means that a handler writes an answer whose end the close may mark. From here
	// to the end of the answer, the kernel resets the connection when it is closed or when the
	// process is killed.
	endByClose
	// endReturned means that the handler has returned and the server writes the rest.
	endReturned
	// endBroken means that the answer will not be whole. Writes to the connection fail.
	endBroken
)

// endedByClose reports whether the close of the connection may mark the end of an answer:
// HTTP/1.0 knows no chunks, and the length may not be known when the head is written.
func endedByClose(r *http.Request) bool { return !r.ProtoAtLeast(1, 1) }

// beginAnswer is called before the first byte of an answer whose end the close may mark.
func (c *Conn) beginAnswer() {
	c.setLinger(lingerReset)
	c.end.Store(int32(endByClose))
	if c.listener.closing.Load() {
		c.breakAnswer()
	}
}

// endHandler is called when the handler of a request has ended.
func (c *Conn) endHandler(returned bool) {
	if !returned {
		c.breakAnswer()
		return
	}
	c.end.CompareAndSwap(int32(endByClose), int32(endReturned))
}

// breakAnswer notes that the answer that is under way, if there is one, will not be whole.
func (c *Conn) breakAnswer() {
	if !c.end.CompareAndSwap(int32(endByClose), int32(endBroken)) {
		c.end.CompareAndSwap(int32(endReturned), int32(endBroken))
	}
}

// finishAnswer is called when the server has passed the whole answer to the kernel, which
// delivers it before the end of the connection.
func (c *Conn) finishAnswer() {
	if c.end.CompareAndSwap(int32(endReturned), int32(endMarked)) {
		c.setLinger(lingerInOrder)
	}
}

// setLinger sets how the connection ends. An error means that it is closed already.
func (c *Conn) setLinger(seconds int) {
	if socket, ok := c.Conn.(lingerer); ok {
		_ = socket.SetLinger(seconds)
	}
}

// CloseServer closes the server of the listener at once. It breaks off answers whose ends a close
// marks, since a server ends a TLS session in order, which a client takes for the end of an answer.
func (l *Listener) CloseServer(server *http.Server) error {
	l.closing.Store(true)
	l.breakAnswers()
	return server.Close()
}

func (l *Listener) breakAnswers() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.breakAnswer()
	}
}
