package tlsconfig

import (
	"crypto/tls"
	"crypto/x509"
	"errors"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/settings"
)

// DaemonName is the DNS name that the certificates of daemons carry. Daemons
// check it in place of an IP number, because a replaced VM gets another number
// while its certificate stays valid. It also keeps certificates that the same
// authority issued for other uses from acting as a daemon.
const DaemonName = "borageleadd"

// errNoPeerCertificate is the cause when the other side shows no certificate.
var errNoPeerCertificate = errors.New("the other side shows no certificate")

// ForCallers returns the configuration towards callers, nil where TLS is off.
// It is meant for http.Server.TLSConfig with ServeTLS, which adds HTTP/2.
func ForCallers(config *settings.TLS, log *zap.Logger) (*tls.Config, error) {
	if config == nil || !config.Callers {
		return nil, nil
	}
	source, err := NewSource(Files{Cert: config.CertFile, Key: config.KeyFile}, log)
	if err != nil {
		return nil, err
	}
	return source.server(tls.VersionTLS12), nil
}

// ForAdmin returns the configuration towards operators, nil where TLS is off.
func ForAdmin(config *settings.TLS, log *zap.Logger) (*tls.Config, error) {
	if config == nil || !config.Admin {
		return nil, nil
	}
	source, err := NewSource(Files{Cert: config.CertFile, Key: config.KeyFile, CA: config.AdminClientCAFile}, log)
	if err != nil {
		return nil, err
	}
	server := source.server(tls.VersionTLS12)
	if config.AdminClientCAFile != "" {
		source.demandClient(server, "")
	}
	return server, nil
}

// ForPeers returns the configurations of both sides of connections between
// daemons, nil where TLS is off. Both sides show certificates of the
// authority that carry DaemonName.
func ForPeers(config *settings.TLS, log *zap.Logger) (server, client *tls.Config, err error) {
	if config == nil || !config.Peers {
		return nil, nil, nil
	}
	source, err := NewSource(Files{Cert: config.CertFile, Key: config.KeyFile, CA: config.CAFile}, log)
	if err != nil {
		return nil, nil, err
	}
	server = source.server(tls.VersionTLS13)
	source.demandClient(server, DaemonName)
	client = &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: DaemonName,
		// The standard check reads its authorities once; VerifyConnection
		// does the same check with those that are in force now.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return source.verify(state, x509.ExtKeyUsageServerAuth, DaemonName)
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := source.current()
			return cert, nil
		},
	}
	return server, client, nil
}

// ForOperator returns the configuration of the command line. Empty names are
// left out: without an authority that of the system is used.
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

func (s *Source) server(version uint16) *tls.Config {
	return &tls.Config{
		MinVersion: version,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := s.current()
			return cert, nil
		},
	}
}

// demandClient makes a server check client certificates against the
// authority in force, also for resumed sessions.
func (s *Source) demandClient(config *tls.Config, name string) {
	config.ClientAuth = tls.RequireAnyClientCert
	config.VerifyConnection = func(state tls.ConnectionState) error {
		return s.verify(state, x509.ExtKeyUsageClientAuth, name)
	}
}

// verify checks the chain of the other side and, where a name is given, that
// its certificate carries the name.
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
