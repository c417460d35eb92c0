package httpconn

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// UnprovenEndError reports that the connection of an answer without a length or chunks ended before
// the request was written in full. The answer may be a part, and the request may have run.
type UnprovenEndError struct{}

// Error implements error.
func (*UnprovenEndError) Error() string {
	return "connection ended before the request was written: the answer may be incomplete"
}

// writeResult is the result of the write of a request as net/http reports it.
type writeResult struct {
	once sync.Once
	done chan struct{}
	err  error
}

func newWriteResult() *writeResult { return &writeResult{done: make(chan struct{})} }

func (r *writeResult) set(info httptrace.WroteRequestInfo) {
	r.once.Do(func() {
		r.err = info.Err
		close(r.done)
	})
}

// VerifyEnd makes the body of an answer return an *UnprovenEndError instead of io.EOF if the end of
// the connection does not prove that the answer is complete. A reset is reported to one system call:
// if the write of the request takes it, the read returns io.EOF. Answers with a length or chunks are
// left as they are. The body of the request must be in memory.
func (u *Use) VerifyEnd(resp *http.Response) {
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if framed || resp.Uncompressed || resp.Body == http.NoBody {
		return
	}
	resp.Body = &closeDelimitedBody{ReadCloser: resp.Body, use: u, ctx: resp.Request.Context()}
}

// closeDelimitedBody is the body of an answer that ends with its connection.
type closeDelimitedBody struct {
	io.ReadCloser
	use *Use
	ctx context.Context
}

// Read implements io.Reader.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.use.wroteInFull(b.ctx) {
		return n, &UnprovenEndError{}
	}
	return n, err
}

// wroteInFull reports, after the connection has ended, whether the request was written in full. The
// server may end a sound answer before the last write has returned here, so wroteInFull waits for the
// write. The wait is short: net/http closes the connection at the end of the body, which ends the write.
func (u *Use) wroteInFull(ctx context.Context) bool {
	// Without this check the wait could last: net/http never reports a write that has not started.
	if u.conn != nil && !u.conn.writeStarted(u.useNumber) {
		return false
	}
	written := u.written.Load()
	if written == nil {
		return false
	}
	select {
	case <-written.done:
	case <-ctx.Done():
		return false
	}
	if written.err != nil {
		return false
	}
	// net/http reports the write before it flushes the last bytes. On a connection that is not a Conn,
	// such as one with TLS, the result of the flush is not known.
	return u.conn == nil || u.conn.writesSucceeded()
}

// writeStarted reports whether a write for the request with the given number has started.
func (c *Conn) writeStarted(useNumber uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.useNumber == useNumber && (c.wroteByte || c.pendingWrites > 0)
}

// writesSucceeded waits for the writes that have not returned, and reports whether none has failed.
func (c *Conn) writesSucceeded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.pendingWrites > 0 {
		c.writeReturned.Wait()
	}
	return !c.writeFailed
}
