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

// Validity of throwaway certificates. Their validity starts throwawayBackdate in
// the past, so that a machine whose clock is slightly behind accepts them.
const (
	throwawayValidity = 7 * 24 * time.Hour
	throwawayBackdate = time.Hour
)

// Authority is a throwaway certificate authority for tests and for dev --tls.
// Its private key is kept in memory only.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority returns an authority with a new key.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "generate key of the certificate authority")
	}
	template := newTemplate("boragelead throwaway authority")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, eris.Wrap(err, "create certificate of the authority")
	}
	cert, err := x509.ParseCertificate(der)
	return &Authority{cert: cert, key: key}, eris.Wrap(err, "parse certificate of the authority")
}

func newTemplate(name string) *x509.Certificate {
	// The certificates of one authority must have different serial numbers.
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-throwawayBackdate),
		NotAfter:     now.Add(throwawayValidity),
	}
}

// Issue creates a certificate for a name and hosts (DNS names or IP numbers) and
// writes NAME.pem, NAME-key.pem and ca.pem to the folder. The hosts of a daemon's
// certificate must include DaemonName.
func (a *Authority) Issue(folder, name string, hosts ...string) (Files, error) {
	files := Files{
		Cert: filepath.Join(folder, name+".pem"),
		Key:  filepath.Join(folder, name+"-key.pem"),
		CA:   filepath.Join(folder, "ca.pem"),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, eris.Wrap(err, "generate key")
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
		return files, eris.Wrap(err, "create certificate")
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
