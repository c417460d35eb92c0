package daemon_test

import (
	"bufio"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/rig"
	"github.com/boragelead/boragelead/internal/settings"
	"github.com/boragelead/boragelead/internal/tlsconfig"
	"github.com/boragelead/boragelead/standin/engine"
)

var _ = Describe("TLS", func() {
	// Guards against TLS settings that are accepted but not applied to callers,
	// operators, peers or forwarded requests.
	It("serves callers, operators and peers with certificates", func() {
		r, caFile := startTLSRig(2, fastSpeed)
		client := newTLSClient(caFile)
		send := func(address string, id string, resumable bool) (int, string, string) {
			method, path, body := http.MethodPost, "/v1/completions", `{"model":"atelier-8b","prompt":"hello","max_tokens":4}`
			if id != "" {
				method, path, body = http.MethodGet, "/v1/requests/"+id, ""
			}
			req, err := http.NewRequest(method, "https://"+address+path, strings.NewReader(body))
			Expect(err).NotTo(HaveOccurred())
			req.Header.Set("Authorization", "Bearer "+testKey)
			if resumable {
				req.Header.Set("X-Boragelead-Resumable", "1")
			}
			resp, err := client.Do(req)
			Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			data, _ := io.ReadAll(resp.Body)
			return resp.StatusCode, resp.Header.Get("X-Request-Id"), string(data)
		}
		first, second := r.Daemons()[0], r.Daemons()[1]
		status, id, answer := send(first.CallerAddress(), "", true)
		Expect(status).To(Equal(http.StatusOK))
		Expect(answer).To(ContainSubstring(`"completion_tokens":4`))

		status, _, forwarded := send(second.CallerAddress(), id, false)
		Expect(status).To(Equal(http.StatusOK), forwarded)
		Expect(forwarded).To(ContainSubstring(`"completion_tokens":4`))

		req, _ := http.NewRequest(http.MethodGet, "https://"+first.AdminAddress()+"/admin/status", nil)
		req.Header.Set("Authorization", "Bearer "+rig.AdminKey)
		resp, err := client.Do(req)
		Expect(err).NotTo(HaveOccurred())
		_ = resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(http.StatusOK))

		_, err = http.Get("http://" + first.CallerAddress() + "/v1/models")
		if err == nil {
			// net/http itself answers plain HTTP requests on a TLS port with status 400.
			resp, _ := http.Get("http://" + first.CallerAddress() + "/v1/models")
			_ = resp.Body.Close()
			Expect(resp.StatusCode).To(Equal(http.StatusBadRequest))
		}
	})

	// Guards against a stream that an HTTP/1.0 caller takes for whole because the daemon ends the TLS session.
	It("resets streams of HTTP/1.0 callers when the daemon is closed", func() {
		r, _ := startTLSRig(1, engine.Speed{PrefillTokensPerSecond: 1e6, DecodeStep: 50 * time.Millisecond})
		conn, err := tls.Dial("tcp", r.Daemons()[0].CallerAddress(), &tls.Config{InsecureSkipVerify: true})
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		Expect(conn.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		body := `{"model":"atelier-8b","prompt":"hello","max_tokens":400,"stream":true}`
		_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.0\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testKey, len(body), body)
		Expect(err).NotTo(HaveOccurred())
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadFull(resp.Body, make([]byte, len("id: 1\n")))
		Expect(err).NotTo(HaveOccurred())
		r.Daemons()[0].Close()
		rest, err := io.ReadAll(resp.Body)
		Expect(err).To(HaveOccurred(), "%q is the rest of a whole answer", rest)
	})
})

// startTLSRig starts daemons that use TLS everywhere and an engine. It returns the file of the authority.
func startTLSRig(daemons int, speed engine.Speed) (*rig.Rig, string) {
	folder := GinkgoT().TempDir()
	authority, err := tlsconfig.NewAuthority()
	Expect(err).NotTo(HaveOccurred())
	files, err := authority.Issue(folder, "daemon", tlsconfig.DaemonName, "127.0.0.1")
	Expect(err).NotTo(HaveOccurred())
	document, err := os.ReadFile("../../examples/portfolio.json")
	Expect(err).NotTo(HaveOccurred())
	r, err := rig.Start(rig.Config{Document: document, Daemons: daemons, Domains: 1, Settings: func(s *settings.Settings) {
		s.TLS = &settings.TLS{CertFile: files.Cert, KeyFile: files.Key, CAFile: files.CA, Callers: true, Admin: true, Peers: true}
	}})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(r.Close)
	_, err = r.AddEngine(engine.Config{FailureDomain: testDomain, Class: "a100", Slots: 8, Speed: speed})
	Expect(err).NotTo(HaveOccurred())
	Expect(r.Await(5 * time.Second)).To(Succeed())
	return r, files.CA
}

func newTLSClient(caFile string) *http.Client {
	pem, err := os.ReadFile(caFile)
	Expect(err).NotTo(HaveOccurred())
	pool := x509.NewCertPool()
	Expect(pool.AppendCertsFromPEM(pem)).To(BeTrue())
	return &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
}
