package tlsconfig_test

import (
	"crypto/tls"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/boragelead/boragelead/internal/settings"
	"github.com/boragelead/boragelead/internal/tlsconfig"
)

func TestTLSConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tlsconfig")
}

func authority() *tlsconfig.Authority {
	a, err := tlsconfig.NewAuthority()
	Expect(err).NotTo(HaveOccurred())
	return a
}

// issue creates a certificate for the hosts and returns its files.
func issue(a *tlsconfig.Authority, hosts ...string) tlsconfig.Files {
	files, err := a.Issue(GinkgoT().TempDir(), "d", hosts...)
	Expect(err).NotTo(HaveOccurred())
	return files
}

func peers(files tlsconfig.Files) (server, client *tls.Config) {
	return loggedPeers(files, zap.NewNop())
}

func loggedPeers(files tlsconfig.Files, log *zap.Logger) (server, client *tls.Config) {
	server, client, err := tlsconfig.ForPeers(&settings.TLS{CertFile: files.Cert, KeyFile: files.Key, CAFile: files.CA, Peers: true}, log)
	Expect(err).NotTo(HaveOccurred())
	return server, client
}

// exchange sends one byte from the client to the server and back, and returns the
// error of the client.
func exchange(server, client *tls.Config) error {
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.CopyN(connection, connection, 1)
		_ = connection.Close()
	}()
	connection, err := tls.DialWithDialer(&net.Dialer{Timeout: 5 * time.Second}, "tcp", listener.Addr().String(), client)
	if err != nil {
		return err
	}
	defer connection.Close()
	if _, err := connection.Write([]byte{1}); err != nil {
		return err
	}
	_, err = io.ReadFull(connection, make([]byte, 1))
	return err
}

var _ = Describe("TLS between daemons", func() {
	It("connects daemons whose certificates are from the same authority, whatever their IP number", func() {
		a := authority()
		server, _ := peers(issue(a, tlsconfig.DaemonName))
		_, client := peers(issue(a, tlsconfig.DaemonName))
		Expect(exchange(server, client)).To(Succeed())
	})

	// Guards against other processes that join the membership or the replicated log.
	It("refuses a certificate of another authority, a missing certificate and a certificate for another use", func() {
		a, other := authority(), authority()
		own, foreign := issue(a, tlsconfig.DaemonName), issue(other, tlsconfig.DaemonName)
		server, client := peers(own)
		_, foreignClient := peers(foreign)
		Expect(exchange(server, foreignClient)).NotTo(Succeed())
		// Here only the server verifies its peer; the client accepts any server.
		foreignClient.VerifyConnection = nil
		Expect(exchange(server, foreignClient)).NotTo(Succeed())
		Expect(exchange(server, &tls.Config{InsecureSkipVerify: true})).NotTo(Succeed())
		foreignServer, _ := peers(foreign)
		foreignServer.ClientAuth, foreignServer.VerifyConnection = tls.NoClientCert, nil
		Expect(exchange(foreignServer, client)).NotTo(Succeed())
		_, operator := peers(issue(a, "operator"))
		Expect(exchange(server, operator)).NotTo(Succeed())
		server, _ = peers(own)
		_, unnamed := peers(issue(a, "127.0.0.1"))
		Expect(exchange(server, unnamed)).NotTo(Succeed())
	})

	// Guards against a daemon that needs a restart when certificates are renewed, and
	// against failed handshakes while the files are being replaced.
	It("reloads renewed certificates without a restart and keeps the old ones while the new files cannot be loaded", func() {
		old, renewed := authority(), authority()
		folder := GinkgoT().TempDir()
		files, err := old.Issue(folder, "d", tlsconfig.DaemonName)
		Expect(err).NotTo(HaveOccurred())
		core, lines := observer.New(zap.InfoLevel)
		server, client := loggedPeers(files, zap.New(core))
		Expect(exchange(server, client)).To(Succeed())
		Expect(os.WriteFile(files.Key, []byte("half"), 0o600)).To(Succeed())
		time.Sleep(1100 * time.Millisecond)
		Expect(exchange(server, client)).To(Succeed())
		Expect(exchange(server, client)).To(Succeed())
		Expect(lines.FilterLevelExact(zap.WarnLevel).Len()).To(Equal(1))
		_, err = renewed.Issue(folder, "d", tlsconfig.DaemonName)
		Expect(err).NotTo(HaveOccurred())
		_, renewedClient := peers(files)
		Eventually(func() error { return exchange(server, renewedClient) }).WithTimeout(5 * time.Second).Should(Succeed())
		Expect(exchange(server, client)).To(Succeed())
		Expect(lines.FilterMessage("Certificate reloaded.").Len()).To(Equal(1))
	})
})

var _ = Describe("TLS for connections from callers and operators", func() {
	get := func(server *tls.Config, client tlsconfig.Files) (*http.Response, error) {
		// httptest would add a certificate of its own, so the test builds the server
		// in the way a daemon does.
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		web := &http.Server{
			Handler:   http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
			TLSConfig: server, ErrorLog: log.New(io.Discard, "", 0),
		}
		go func() { _ = web.ServeTLS(listener, "", "") }()
		DeferCleanup(web.Close)
		config, err := tlsconfig.ForOperator(client)
		Expect(err).NotTo(HaveOccurred())
		transport := &http.Transport{TLSClientConfig: config, ForceAttemptHTTP2: true}
		DeferCleanup(transport.CloseIdleConnections)
		return (&http.Client{Transport: transport}).Get("https://" + listener.Addr().String())
	}

	// Guards against a listener without TLS, and against callers that accept a server
	// with a certificate of another authority.
	It("serves callers over HTTP/2, and callers that trust another authority refuse the connection", func() {
		files := issue(authority(), "127.0.0.1")
		config, err := tlsconfig.ForCallers(&settings.TLS{CertFile: files.Cert, KeyFile: files.Key, Callers: true}, zap.NewNop())
		Expect(err).NotTo(HaveOccurred())
		response, err := get(config, tlsconfig.Files{CA: files.CA})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.ProtoMajor).To(Equal(2))
		_, err = get(config, tlsconfig.Files{CA: issue(authority(), "x").CA})
		Expect(err).To(HaveOccurred())
	})

	// Guards against access with the operators' key alone when a client certificate is
	// required.
	It("refuses operators without a client certificate of the authority", func() {
		a := authority()
		files, operator := issue(a, "127.0.0.1"), issue(a, "operator")
		config, err := tlsconfig.ForAdmin(&settings.TLS{CertFile: files.Cert, KeyFile: files.Key, Admin: true, AdminClientCAFile: files.CA}, zap.NewNop())
		Expect(err).NotTo(HaveOccurred())
		_, err = get(config, operator)
		Expect(err).NotTo(HaveOccurred())
		_, err = get(config.Clone(), tlsconfig.Files{CA: files.CA})
		Expect(err).To(HaveOccurred())
	})

	It("returns no configuration if the settings do not enable TLS", func() {
		config, err := tlsconfig.ForCallers(nil, nil)
		Expect(config, err).To(BeNil())
		config, err = tlsconfig.ForAdmin(&settings.TLS{}, nil)
		Expect(config, err).To(BeNil())
		_, client, err := tlsconfig.ForPeers(&settings.TLS{}, nil)
		Expect(client, err).To(BeNil())
	})
})
