package tlsconfig

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
)

// Validity of throwaway certificates. The start lies back, so that a machine
// whose clock is a little behind accepts them.
const (
	throwawayValidity = 7 * 24 * time.Hour
	throwawayBackdate = time.Hour
)

// Authority is a throwaway certificate authority for tests and for dev --tls.
// Its key stays in memory.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority makes an authority.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "make authority key")
	}
	template := newTemplate("boragelead throwaway authority")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, eris.Wrap(err, "make authority")
	}
	cert, err := x509.ParseCertificate(der)
	return &Authority{cert: cert, key: key}, eris.Wrap(err, "make authority")
}

func newTemplate(name string) *x509.Certificate {
	// The serial number only has to differ between certificates of one authority.
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-throwawayBackdate),
		NotAfter:     now.Add(throwawayValidity),
	}
}

// Issue makes a certificate for a name and hosts (DNS names or IP numbers) and
// writes NAME.pem, NAME-key.pem and ca.pem into the folder. Daemons pass
// DaemonName among the hosts.
func (a *Authority) Issue(folder, name string, hosts ...string) (Files, error) {
	files := Files{
		Cert: filepath.Join(folder, name+".pem"),
		Key:  filepath.Join(folder, name+"-key.pem"),
		CA:   filepath.Join(folder, "ca.pem"),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, eris.Wrap(err, "make key")
	}
	template := newTemplate(name)
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	for _, host := range hosts {
		if ip := net.ParseIP(host); ip != nil {
			template.IPAddresses = append(template.IPAddresses, ip)
			continue
		}
		template.DNSNames = append(template.DNSNames, host)
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return files, eris.Wrap(err, "make certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return files, eris.Wrap(err, "encode key")
	}
	if err := writePEM(files.Key, "PRIVATE KEY", keyDER); err != nil {
		return files, err
	}
	if err := writePEM(files.Cert, "CERTIFICATE", der); err != nil {
		return files, err
	}
	return files, writePEM(files.CA, "CERTIFICATE", a.cert.Raw)
}

func writePEM(path, kind string, der []byte) error {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return eris.Wrap(os.WriteFile(path, data, 0o600), "write PEM file")
}
