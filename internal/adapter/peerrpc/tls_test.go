package peerrpc

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// authority signs certificates of daemons.
type authority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, dir: t.TempDir()}
	a.cert, a.key = a.sign("ca", true)
	return a
}

func (a *authority) path(name string) string { return filepath.Join(a.dir, name) }

func (a *authority) sign(name string, isCA bool) (*x509.Certificate, *ecdsa.PrivateKey) {
	a.t.Helper()
	g := gomega.NewWithT(a.t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: isCA, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	parent, signer := a.cert, a.key
	if isCA {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	keyDER, err := x509.MarshalECPrivateKey(key)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	a.write(name+".crt", "CERTIFICATE", der)
	a.write(name+".key", "EC PRIVATE KEY", keyDER)
	cert, err := x509.ParseCertificate(der)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return cert, key
}

func (a *authority) write(name, kind string, der []byte) {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	gomega.NewWithT(a.t).Expect(os.WriteFile(a.path(name), data, 0o600)).To(gomega.Succeed())
}

func (a *authority) options(name string) Options {
	a.sign(name, false)
	config, err := LoadTLS(a.path(name+".crt"), a.path(name+".key"), a.path("ca.crt"))
	gomega.NewWithT(a.t).Expect(err).NotTo(gomega.HaveOccurred())
	return Options{TLS: config}
}

// Guards against a daemon that accepts, or calls, one without a certificate of
// the authority.
func TestMutualTLS(t *testing.T) {
	g := gomega.NewWithT(t)
	ours, other := newAuthority(t), newAuthority(t)
	methods := map[string]func(context.Context, []byte) ([]byte, error){"echo": echo}
	_, address := start(t, ours.options("server"), methods)
	_, foreign := start(t, other.options("server"), methods)
	client := New(ours.options("client"))
	defer client.Close()
	result, err := client.Call(t.Context(), address, "echo", []byte("x"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(result).To(gomega.Equal([]byte("x")))
	_, err = client.Call(t.Context(), foreign, "echo", []byte("x"))
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(MaySent(err)).To(gomega.BeFalse())

	for _, options := range []Options{other.options("stranger"), {}} {
		stranger := New(options)
		_, err = stranger.Call(t.Context(), address, "echo", []byte("x"))
		g.Expect(err).To(gomega.HaveOccurred())
		stranger.Close()
	}
}
