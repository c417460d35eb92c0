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

// issueCertificate writes the certificate files of a daemon to a folder.
func issueCertificate(t *testing.T, authority *tlsconfig.Authority, folder string) tlsconfig.Files {
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

// Guards against a daemon that accepts calls from, or makes calls to, a daemon
// without a certificate of the authority.
func TestMutualTLS(t *testing.T) {
	g := gomega.NewWithT(t)
	ours, other := newAuthority(t), newAuthority(t)
	daemonOptions := func(authority *tlsconfig.Authority) Options {
		return tlsOptions(t, issueCertificate(t, authority, t.TempDir()))
	}
	methods := map[string]func(context.Context, []byte) ([]byte, error){"echo": echo}
	_, address := startNode(t, daemonOptions(ours), methods)
	_, otherAddress := startNode(t, daemonOptions(other), methods)
	client := New(daemonOptions(ours))
	defer client.Close()
	result, err := client.Call(t.Context(), address, "echo", []byte("x"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(result).To(gomega.Equal([]byte("x")))
	_, err = client.Call(t.Context(), otherAddress, "echo", []byte("x"))
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(MayHaveBeenSent(err)).To(gomega.BeFalse())

	for _, options := range []Options{daemonOptions(other), {}} {
		untrusted := New(options)
		_, err = untrusted.Call(t.Context(), address, "echo", []byte("x"))
		g.Expect(err).To(gomega.HaveOccurred())
		untrusted.Close()
	}
}

// Guards against daemons that use certificates of a replaced authority until they
// are restarted.
func TestRenewedCertificatesAreLoaded(t *testing.T) {
	g := gomega.NewWithT(t)
	folder := t.TempDir()
	options := tlsOptions(t, issueCertificate(t, newAuthority(t), folder))
	methods := map[string]func(context.Context, []byte) ([]byte, error){"echo": echo}
	_, address := startNode(t, options, methods)
	renewed := newAuthority(t)
	issueCertificate(t, renewed, folder)
	// On a file system with coarse timestamps the new files would have the
	// modification time of the old ones.
	later := time.Now().Add(time.Minute)
	for _, name := range []string{"daemon.pem", "daemon-key.pem", "ca.pem"} {
		g.Expect(os.Chtimes(folder+"/"+name, later, later)).To(gomega.Succeed())
	}
	client := New(tlsOptions(t, issueCertificate(t, renewed, t.TempDir())))
	defer client.Close()
	g.Eventually(func() error {
		_, err := client.Call(t.Context(), address, "echo", []byte("x"))
		return err
	}, "10s", "100ms").Should(gomega.Succeed())
}
