package tlsconfig

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

// checkInterval bounds how often files are looked at, so that a flood of
// handshakes causes no flood of file accesses.
const checkInterval = time.Second

// Files names PEM files. CA may be empty.
type Files struct {
	Cert, Key, CA string
}

// Source holds a certificate and the authority that verifies others, and
// reloads them when a file changes. A file that cannot be read or does not fit
// keeps the previous content in use: certificate and key are replaced one
// after the other, and a handshake may come in between.
type Source struct {
	files Files
	log   *zap.Logger

	mu      sync.Mutex
	checked time.Time
	stamps  [3]stamp
	cert    *tls.Certificate
	pool    *x509.CertPool
	// failure is the last reload failure that was logged.
	failure string
}

// stamp tells versions of a file apart.
type stamp struct {
	modified time.Time
	size     int64
}

// errNoCertificates is the cause when an authority file holds no PEM certificate.
var errNoCertificates = errors.New("the file holds no PEM certificate")

// NewSource reads the files. The log tells when changed files come into use, or do not fit.
func NewSource(files Files, log *zap.Logger) (*Source, error) {
	s := &Source{files: files, log: log}
	s.checked = time.Now()
	s.stamps = s.look()
	return s, s.load()
}

func (s *Source) look() [3]stamp {
	var stamps [3]stamp
	for i, path := range []string{s.files.Cert, s.files.Key, s.files.CA} {
		if info, err := os.Stat(path); path != "" && err == nil {
			stamps[i] = stamp{modified: info.ModTime(), size: info.Size()}
		}
	}
	return stamps
}

// load replaces certificate and pool together, or neither.
func (s *Source) load() error {
	cert, err := tls.LoadX509KeyPair(s.files.Cert, s.files.Key)
	if err != nil {
		return eris.Wrap(err, "load certificate")
	}
	var pool *x509.CertPool
	if s.files.CA != "" {
		if pool, err = loadPool(s.files.CA); err != nil {
			return err
		}
	}
	s.cert, s.pool = &cert, pool
	return nil
}

func loadPool(path string) (*x509.CertPool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "load authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, eris.Wrapf(errNoCertificates, "load authority %s", path)
	}
	return pool, nil
}

// current returns certificate and pool after a look at the files.
func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.checked) >= checkInterval {
		s.checked = now
		s.reload()
	}
	return s.cert, s.pool
}

func (s *Source) reload() {
	stamps := s.look()
	if stamps == s.stamps {
		return
	}
	if err := s.load(); err != nil {
		// Keep the old stamps, so that the next look tries again.
		s.reportFailure(err)
		return
	}
	s.stamps = stamps
	s.failure = ""
	s.log.Info("Certificate reloaded.", zap.String("file", s.files.Cert))
}

// reportFailure logs a failure once, not at each look.
func (s *Source) reportFailure(err error) {
	if err.Error() == s.failure {
		return
	}
	s.failure = err.Error()
	s.log.Warn("Changed certificate files do not fit; the previous ones stay in use.", zap.String("file", s.files.Cert), zap.Error(err))
}
