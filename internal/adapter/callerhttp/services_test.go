package callerhttp_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/adapter/callerhttp"
	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/entry"
)

// Guards against an answer of a service that an HTTP/1.0 caller cannot tell from a part of it.
func TestAnswerOfServiceHasLengthForOldCallers(t *testing.T) {
	const bodyBytes = 100 << 10
	g := NewWithT(t)
	store := conf.NewStore()
	store.Install(1, testDocument(), "d", time.Now())
	services := &fakeServices{resp: &entry.ServiceResponse{Status: http.StatusOK, Header: http.Header{}, Body: make([]byte, bodyBytes)}}
	server := newServer(t, callerhttp.Options{Name: "entry-1", Config: store, Services: services, NewID: func() string { return "entry-1.id" }})
	conn, err := net.Dial("tcp", strings.TrimPrefix(server, "http://"))
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /services/publishing/portfolios/1 HTTP/1.0\r\nAuthorization: Bearer "+secret+"\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	g.Expect(resp.ContentLength).To(BeNumerically("==", bodyBytes))
	body, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(HaveLen(bodyBytes))
}
