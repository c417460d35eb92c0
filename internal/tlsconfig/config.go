package tlsconfig

import (
	"crypto/tls"
	"crypto/x509"
	"errors"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/settings"
)

// DaemonName is a DNS name in the certificates of all daemons. Daemons verify this
// name instead of an IP number, because a replaced VM gets another IP number
// while its certificate stays valid. The name also prevents the use of
// certificates that the same authority issued for other purposes.
const DaemonName = "borageleadd"

// errNoPeerCertificate is the cause when the peer sends no certificate.
var errNoPeerCertificate = errors.New("the peer sent no certificate")

// ForCallers returns the server configuration for connections from callers, or nil
// if TLS is off for them. It is for http.Server.TLSConfig with ServeTLS, which
// adds HTTP/2.
func ForCallers(config *settings.TLS, log *zap.Logger) (*tls.Config, error) {
	if config == nil || !config.Callers {
		return nil, nil
	}
	source, err := NewSource(Files{Cert: config.CertFile, Key: config.KeyFile}, log)
	if err != nil {
		return nil, err
	}
	return source.serverConfig(tls.VersionTLS12), nil
}

// ForAdmin returns the server configuration for connections from operators, or nil
// if TLS is off for them.
func ForAdmin(config *settings.TLS, log *zap.Logger) (*tls.Config, error) {
	if config == nil || !config.Admin {
		return nil, nil
	}
	source, err := NewSource(Files{Cert: config.CertFile, Key: config.KeyFile, CA: config.AdminClientCAFile}, log)
	if err != nil {
		return nil, err
	}
	serverConfig := source.serverConfig(tls.VersionTLS12)
	if config.AdminClientCAFile != "" {
		source.requireClientCert(serverConfig, "")
	}
	return serverConfig, nil
}

// ForPeers returns the configurations of both sides of connections between
// daemons, or nil if TLS is off for them. Each side must present a certificate
// that the authority issued for DaemonName.
func ForPeers(config *settings.TLS, log *zap.Logger) (serverConfig, clientConfig *tls.Config, err error) {
	if config == nil || !config.Peers {
		return nil, nil, nil
	}
	source, err := NewSource(Files{Cert: config.CertFile, Key: config.KeyFile, CA: config.CAFile}, log)
	if err != nil {
		return nil, nil, err
	}
	serverConfig = source.serverConfig(tls.VersionTLS13)
	source.requireClientCert(serverConfig, DaemonName)
	clientConfig = &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: DaemonName,
		// The standard verification uses the authorities that were loaded when the
		// configuration was built. VerifyConnection does the same verification with
		// the authorities that are loaded now.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return source.verify(state, x509.ExtKeyUsageServerAuth, DaemonName)
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := source.current()
			return cert, nil
		},
	}
	return serverConfig, clientConfig, nil
}

// ForOperator returns the client configuration of the command-line tool. Without a
// CA file, the authorities of the operating system are used; without a certificate
// file, the client has no certificate.
func ForOperator(files Files) (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if files.CA != "" {
		pool, err := loadPool(files.CA)
		if err != nil {
			return nil, err
		}
		config.RootCAs = pool
	}
	if files.Cert != "" {
		cert, err := tls.LoadX509KeyPair(files.Cert, files.Key)
		if err != nil {
			return nil, eris.Wrap(err, "load certificate")
		}
		config.Certificates = []tls.Certificate{cert}
	}
	return config, nil
}

func (s *Source) serverConfig(version uint16) *tls.Config {
	return &tls.Config{
		MinVersion: version,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := s.current()
			return cert, nil
		},
	}
}

// requireClientCert makes a server verify client certificates against the authority
// that is loaded now, also in resumed sessions.
func (s *Source) requireClientCert(config *tls.Config, name string) {
	config.ClientAuth = tls.RequireAnyClientCert
	config.VerifyConnection = func(state tls.ConnectionState) error {
		return s.verify(state, x509.ExtKeyUsageClientAuth, name)
	}
}

// verify checks the certificate chain of the peer and, if name is not empty, that
// the certificate is valid for that name.
func (s *Source) verify(state tls.ConnectionState, usage x509.ExtKeyUsage, name string) error {
	if len(state.PeerCertificates) == 0 {
		return eris.Wrap(errNoPeerCertificate, "verify certificate")
	}
	_, pool := s.current()
	options := x509.VerifyOptions{
		Roots: pool, DNSName: name, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{usage},
	}
	for _, cert := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return eris.Wrap(err, "verify certificate")
}
