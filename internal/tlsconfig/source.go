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

// checkInterval is the minimum time between two checks of the files, so that many
// handshakes do not cause as many file accesses.
const checkInterval = time.Second

// Files holds the paths of PEM files. CA may be empty.
type Files struct {
	Cert, Key, CA string
}

// Source holds a certificate and the authority for verifying peers, and reloads
// them when a file changes. If a file cannot be read, or the certificate and key
// do not match, the previous ones stay in use: the certificate and key files are
// replaced one after the other, and a handshake may happen in between.
type Source struct {
	files Files
	log   *zap.Logger

	mu        sync.Mutex
	lastCheck time.Time
	versions  [3]fileVersion
	cert      *tls.Certificate
	pool      *x509.CertPool
	// lastFailure is the text of the last reload error that was logged.
	lastFailure string
}

// fileVersion identifies a version of a file.
type fileVersion struct {
	modified time.Time
	size     int64
}

// errNoCertificates is the cause when a CA file contains no PEM certificate.
var errNoCertificates = errors.New("the file contains no PEM certificate")

// NewSource loads the files. The source logs when it reloads changed files or fails
// to reload them.
func NewSource(files Files, log *zap.Logger) (*Source, error) {
	s := &Source{files: files, log: log}
	s.lastCheck = time.Now()
	s.versions = s.statFiles()
	return s, s.load()
}

func (s *Source) statFiles() [3]fileVersion {
	var versions [3]fileVersion
	for i, path := range []string{s.files.Cert, s.files.Key, s.files.CA} {
		if info, err := os.Stat(path); path != "" && err == nil {
			versions[i] = fileVersion{modified: info.ModTime(), size: info.Size()}
		}
	}
	return versions
}

// load replaces the certificate and the pool together. On an error it replaces neither.
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

// current returns the certificate and the pool. It checks the files for changes
// first, at most once per checkInterval.
func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.lastCheck) >= checkInterval {
		s.lastCheck = now
		s.reload()
	}
	return s.cert, s.pool
}

func (s *Source) reload() {
	versions := s.statFiles()
	if versions == s.versions {
		return
	}
	if err := s.load(); err != nil {
		// Keep the old versions, so that the next check tries again.
		s.reportFailure(err)
		return
	}
	s.versions = versions
	s.lastFailure = ""
	s.log.Info("Certificate reloaded.", zap.String("file", s.files.Cert))
}

// reportFailure logs an error, unless it is the same as the last one logged.
func (s *Source) reportFailure(err error) {
	if err.Error() == s.lastFailure {
		return
	}
	s.lastFailure = err.Error()
	s.log.Warn("Changed certificate files could not be loaded; the previous ones stay in use.", zap.String("file", s.files.Cert), zap.Error(err))
}
