package peerrpc

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/rotisserie/eris"
)

// CertificateError says that the other daemon's certificate is not acceptable.
type CertificateError struct{ Reason string }

// Error implements error.
func (e *CertificateError) Error() string { return "certificate of daemon: " + e.Reason }

// LoadTLS reads the files for mutual TLS. Both sides must hold a certificate
// of the authority. The address is not compared with the certificate, because
// VMs are replaced under new IP addresses and the authority signs daemons only.
func LoadTLS(certFile, keyFile, caFile string) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, eris.Wrap(err, "load certificate of daemon")
	}
	authority, err := os.ReadFile(caFile)
	if err != nil {
		return nil, eris.Wrap(err, "read certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, eris.Wrap(&CertificateError{Reason: "no certificate in " + caFile}, "read certificate authority")
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
		// The chain is verified below, without the host name.
		InsecureSkipVerify: true,
		VerifyConnection:   func(state tls.ConnectionState) error { return verifyChain(state, pool) },
	}, nil
}

func verifyChain(state tls.ConnectionState, roots *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return &CertificateError{Reason: "none given"}
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}
