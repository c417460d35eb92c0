package inlet

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"testing"
)

// FuzzHead guards against a head that counts as larger than it was sent: a client inside the
// limit would be refused.
func FuzzHead(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte("POST /a?b HTTP/1.0\r\nX: y\r\nx:z\r\nContent-Length: 1\r\n\r\na"))
	f.Add([]byte("GET http://h/ HTTP/1.1\nHost:h\n\n"))
	f.Add([]byte("\r\n\r\n\r\nGET / HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		raw := bytes.NewReader(data)
		reader := bufio.NewReader(raw)
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		// Bare line feeds and missing spaces make a head shorter than the usual form.
		sent := int64(len(data)-raw.Len()-reader.Buffered()) + 2*int64(bytes.Count(data, []byte("\n")))
		if size := headBytes(request); size > sent {
			t.Fatalf("head of %d bytes counts as %d", sent, size)
		}
	})
}

// FuzzChunkedBody guards against a chunked body that is read differently from what was sent, and
// against memory that is not returned.
func FuzzChunkedBody(f *testing.F) {
	f.Add([]byte("3\r\nabc\r\n0\r\n\r\n"), int64(64<<10))
	f.Add([]byte("3;x=y\r\nabc\r\n1\r\nd\r\n0\r\nT: v\r\n\r\n"), int64(4<<10))
	f.Add([]byte("ffffffffffffffff\r\n"), int64(1))
	f.Add([]byte("1\r\na\r\n1\r\n"), int64(8<<10))
	f.Fuzz(func(t *testing.T, data []byte, limit int64) {
		head := []byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
		want, wantErr := readRequest(t, head, data, func(r io.Reader) ([]byte, error) { return io.ReadAll(r) })
		budget := NewBudget(limit)
		body := NewBody(budget.NewAccount())
		got, err := readRequest(t, head, data, func(r io.Reader) ([]byte, error) {
			err := body.Read(r, -1)
			return body.Data(), err
		})
		if errors.Is(err, ErrFull) {
			got = nil
		} else if (err == nil) != (wantErr == nil) || err == nil && !bytes.Equal(got, want) {
			t.Fatalf("read %q, %v instead of %q, %v", got, err, want, wantErr)
		}
		body.Release()
		if budget.Used() != 0 {
			t.Fatalf("%d bytes are not returned", budget.Used())
		}
	})
}

func readRequest(t *testing.T, head, data []byte, read func(io.Reader) ([]byte, error)) ([]byte, error) {
	t.Helper()
	request, err := http.ReadRequest(bufio.NewReader(io.MultiReader(bytes.NewReader(head), bytes.NewReader(data))))
	if err != nil {
		t.Fatal(err)
	}
	return read(request.Body)
}
