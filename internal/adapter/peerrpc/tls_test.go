package peerrpc

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/settings"
	"github.com/boragelead/boragelead/internal/tlsconfig"
)

// issue writes a certificate of a daemon.
func issue(t *testing.T, authority *tlsconfig.Authority, folder string) tlsconfig.Files {
	t.Helper()
	files, err := authority.Issue(folder, "daemon", tlsconfig.DaemonName)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return files
}

func newAuthority(t *testing.T) *tlsconfig.Authority {
	t.Helper()
	authority, err := tlsconfig.NewAuthority()
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return authority
}

func tlsOptions(t *testing.T, files tlsconfig.Files) Options {
	t.Helper()
	server, client, err := tlsconfig.ForPeers(&settings.TLS{CertFile: files.Cert, KeyFile: files.Key, CAFile: files.CA, Peers: true}, zap.NewNop())
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return Options{ServerTLS: server, ClientTLS: client}
}

// Guards against a daemon that accepts, or calls, one without a certificate of
// the authority.
func TestMutualTLS(t *testing.T) {
	g := gomega.NewWithT(t)
	ours, other := newAuthority(t), newAuthority(t)
	daemon := func(authority *tlsconfig.Authority) Options { return tlsOptions(t, issue(t, authority, t.TempDir())) }
	methods := map[string]func(context.Context, []byte) ([]byte, error){"echo": echo}
	_, address := start(t, daemon(ours), methods)
	_, foreign := start(t, daemon(other), methods)
	client := New(daemon(ours))
	defer client.Close()
	result, err := client.Call(t.Context(), address, "echo", []byte("x"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(result).To(gomega.Equal([]byte("x")))
	_, err = client.Call(t.Context(), foreign, "echo", []byte("x"))
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(MaySent(err)).To(gomega.BeFalse())

	for _, options := range []Options{daemon(other), {}} {
		stranger := New(options)
		_, err = stranger.Call(t.Context(), address, "echo", []byte("x"))
		g.Expect(err).To(gomega.HaveOccurred())
		stranger.Close()
	}
}

// Guards against daemons that go on with certificates of a withdrawn authority
// until they are restarted.
func TestRenewedCertificates(t *testing.T) {
	g := gomega.NewWithT(t)
	folder := t.TempDir()
	options := tlsOptions(t, issue(t, newAuthority(t), folder))
	methods := map[string]func(context.Context, []byte) ([]byte, error){"echo": echo}
	_, address := start(t, options, methods)
	renewed := newAuthority(t)
	issue(t, renewed, folder)
	// File systems with a coarse clock give the new files the time of the old ones.
	later := time.Now().Add(time.Minute)
	for _, name := range []string{"daemon.pem", "daemon-key.pem", "ca.pem"} {
		g.Expect(os.Chtimes(folder+"/"+name, later, later)).To(gomega.Succeed())
	}
	client := New(tlsOptions(t, issue(t, renewed, t.TempDir())))
	defer client.Close()
	g.Eventually(func() error {
		_, err := client.Call(t.Context(), address, "echo", []byte("x"))
		return err
	}, "10s", "100ms").Should(gomega.Succeed())
}
