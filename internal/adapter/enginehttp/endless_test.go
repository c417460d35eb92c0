package enginehttp

import (
	"context"
	"io"
	"net"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// serveEndlessly accepts connections, writes a start and then a filler until the
// client closes. It returns the base URL and a channel of the bytes that each
// connection took.
func serveEndlessly(start, filler string) (baseURL string, written <-chan int) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	counts := make(chan int, 10)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				total, err := io.WriteString(conn, start)
				for err == nil {
					var n int
					n, err = io.WriteString(conn, filler)
					total += n
				}
				counts <- total
			}()
		}
	}()
	return "http://" + listener.Addr().String(), counts
}

var _ = Describe("responses without end", func() {
	const ok = "HTTP/1.1 200 OK\r\n"
	filler := strings.Repeat("x", 16<<10)
	// Guards against memory that an engine fills until the deadline, with a head, an
	// interim response or a body without end.
	DescribeTable("are cut off", func(start, filler string) {
		baseURL, written := serveEndlessly(start, filler)
		c := NewClient()
		DeferCleanup(c.Close)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err := c.KVExport(ctx, baseURL, "a")
		Expect(err).To(HaveOccurred())
		Expect(ctx.Err()).NotTo(HaveOccurred())
		var total int
		Eventually(written, "3s").Should(Receive(&total))
		// The sockets of both sides hold some megabytes.
		Expect(total).To(BeNumerically("<", 16<<20))
	},
		Entry("status line", "", filler),
		Entry("header", ok+"X-Filler: ", filler),
		Entry("interim responses", "", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", 100)),
		Entry("body", ok+"\r\n"+`{"handle":"`, filler),
	)
})
