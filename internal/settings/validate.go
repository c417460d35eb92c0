package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"slices"
)

// minMemoryBytes is the smallest heap that holds the buffers of a daemon and the
// endpoint registry.
const minMemoryBytes = 16 << 20

// namePattern matches names that can be used in request IDs, log lines and file names.
var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$`)

// Validate checks all fields and checks that folders and files exist. It does
// not check whether a port is free; this shows when the daemon opens its
// listeners. The error is an *Error that names the first wrong field.
func (s *Settings) Validate() error {
	checks := []func() error{
		s.checkNames, s.checkListen, s.checkReplica, s.checkDataFolder, s.checkPeerLists,
		s.checkLimits, s.checkLog, s.Trace.check, s.checkTLS, s.checkPeerKeys, s.checkAdminKey, s.checkDrain,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) checkNames() error {
	if err := checkName("$.name", s.Name); err != nil {
		return err
	}
	if err := checkName("$.failure_domain", s.FailureDomain); err != nil {
		return err
	}
	if s.Region == "" {
		return nil
	}
	return checkName("$.region", s.Region)
}

func checkName(field, name string) error {
	if name == "" {
		return fieldErrorf(field, "is required")
	}
	if !namePattern.MatchString(name) {
		return fieldErrorf(field, "%q must be 1 to 63 letters, digits, dots, hyphens or underscores", name)
	}
	return nil
}

func (s *Settings) checkListen() error {
	usedAddresses := map[netip.AddrPort]string{}
	fields := []struct{ name, address string }{
		{"$.listen.callers", s.Listen.Callers},
		{"$.listen.endpoints", s.Listen.Endpoints},
		{"$.listen.peers", s.Listen.Peers},
		{"$.listen.admin", s.Listen.Admin},
	}
	for _, field := range fields {
		address, err := checkAddress(field.name, field.address)
		if err != nil {
			return err
		}
		if other := usedAddresses[address]; other != "" && address.Port() != 0 {
			return fieldErrorf(field.name, "%s is also the address of %s", address, other)
		}
		usedAddresses[address] = field.name
	}
	if netip.MustParseAddrPort(s.Listen.Peers).Addr().IsUnspecified() {
		return fieldErrorf("$.listen.peers", "must be the IP number by which other daemons reach this one, not %s", s.Listen.Peers)
	}
	return nil
}

// checkAddress parses an IP address with a port. Host names are refused, because
// VMs address each other by IP address and a daemon must start without a resolver.
func checkAddress(field, address string) (netip.AddrPort, error) {
	if address == "" {
		return netip.AddrPort{}, fieldErrorf(field, "is required")
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return netip.AddrPort{}, fieldErrorf(field, "%q is not an IP number with a port, such as 10.0.0.1:8080", address)
	}
	return parsed, nil
}

func (s *Settings) checkReplica() error {
	if s.Replica == nil {
		return nil
	}
	if s.DataFolder == "" {
		return fieldErrorf("$.data_folder", "is required for a state replica")
	}
	if len(s.Replica.Bootstrap) == 0 {
		return nil
	}
	if err := checkPeers("$.replica.bootstrap", s.Replica.Bootstrap); err != nil {
		return err
	}
	isSelf := func(p Peer) bool { return p.Name == s.Name }
	if !slices.ContainsFunc(s.Replica.Bootstrap, isSelf) {
		return fieldErrorf("$.replica.bootstrap", "must list this daemon %q as well", s.Name)
	}
	return nil
}

func (s *Settings) checkDataFolder() error {
	if s.DataFolder == "" {
		return nil
	}
	info, err := os.Stat(s.DataFolder)
	if err != nil {
		return fieldErrorf("$.data_folder", "%v", err)
	}
	if !info.IsDir() {
		return fieldErrorf("$.data_folder", "%s is not a folder", s.DataFolder)
	}
	// Only a write shows that the folder is writable: the mode bits do not show
	// whether it is on a read-only mount.
	probe, err := os.CreateTemp(s.DataFolder, ".probe-*")
	if err != nil {
		return fieldErrorf("$.data_folder", "is not writable: %v", err)
	}
	_ = probe.Close()
	if err := os.Remove(probe.Name()); err != nil {
		return fieldErrorf("$.data_folder", "is not writable: %v", err)
	}
	return nil
}

func (s *Settings) checkPeerLists() error {
	if err := checkPeers("$.peers", s.Peers); err != nil {
		return err
	}
	return checkPeers("$.state_replicas", s.StateReplicas)
}

func checkPeers(field string, peers []Peer) error {
	names := map[string]bool{}
	addresses := map[netip.AddrPort]bool{}
	for i, peer := range peers {
		path := fmt.Sprintf("%s[%d]", field, i)
		if err := checkName(path+".name", peer.Name); err != nil {
			return err
		}
		address, err := checkAddress(path+".address", peer.Address)
		if err != nil {
			return err
		}
		if address.Port() == 0 || address.Addr().IsUnspecified() {
			return fieldErrorf(path+".address", "%s cannot be reached: it needs an IP number and a port", address)
		}
		if names[peer.Name] {
			return fieldErrorf(path+".name", "%q is listed twice", peer.Name)
		}
		if addresses[address] {
			return fieldErrorf(path+".address", "%s is listed twice", address)
		}
		names[peer.Name], addresses[address] = true, true
	}
	return nil
}

func (s *Settings) checkLimits() error {
	if s.Limits.MaxStreams < 1 {
		return fieldErrorf("$.limits.max_streams", "must be at least 1, not %d", s.Limits.MaxStreams)
	}
	if s.Limits.MaxMemoryBytes < minMemoryBytes {
		return fieldErrorf("$.limits.max_memory_bytes", "must be at least %d, not %d", minMemoryBytes, s.Limits.MaxMemoryBytes)
	}
	return nil
}

func (s *Settings) checkLog() error {
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, s.Log.Level) {
		return fieldErrorf("$.log.level", "%q is unknown; use debug, info, warn or error", s.Log.Level)
	}
	if s.Log.Format != "console" && s.Log.Format != "json" {
		return fieldErrorf("$.log.format", "%q is unknown; use console or json", s.Log.Format)
	}
	return nil
}

func (t *Trace) check() error {
	if !(t.SampleRatio >= 0 && t.SampleRatio <= 1) {
		return fieldErrorf("$.trace.sample_ratio", "must be between 0 and 1, not %v", t.SampleRatio)
	}
	if t.File != "" {
		if info, err := os.Stat(filepath.Dir(t.File)); err != nil || !info.IsDir() {
			return fieldErrorf("$.trace.file", "the folder of %s does not exist", t.File)
		}
	}
	if t.OTLPURL == "" {
		return nil
	}
	target, err := url.Parse(t.OTLPURL)
	if err != nil || (target.Scheme != "http" && target.Scheme != "https") || target.Host == "" {
		return fieldErrorf("$.trace.otlp_url", "%q is not a URL such as http://10.0.0.9:4318", t.OTLPURL)
	}
	if _, err := netip.ParseAddr(target.Hostname()); err != nil {
		return fieldErrorf("$.trace.otlp_url", "%q is a host name; use an IP number", target.Hostname())
	}
	return nil
}

// checkPeerKeys checks that the key file can be opened. Its content is checked
// when the daemon starts.
func (s *Settings) checkPeerKeys() error {
	if s.PeerKeyFile == "" {
		return nil
	}
	return checkReadable("$.peer_key_file", s.PeerKeyFile)
}

// checkReadable checks that a file can be opened.
func checkReadable(field, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return fieldErrorf(field, "%v", err)
	}
	_ = file.Close()
	return nil
}

func (s *Settings) checkTLS() error {
	if s.TLS == nil {
		return nil
	}
	files := []struct {
		field, path string
		required    bool
	}{
		{"$.tls.cert_file", s.TLS.CertFile, true},
		{"$.tls.key_file", s.TLS.KeyFile, true},
		{"$.tls.ca_file", s.TLS.CAFile, s.TLS.Peers},
		{"$.tls.admin_client_ca_file", s.TLS.AdminClientCAFile, false},
	}
	for _, file := range files {
		if file.path == "" && !file.required {
			continue
		}
		if file.path == "" {
			return fieldErrorf(file.field, "is required")
		}
		if err := checkReadable(file.field, file.path); err != nil {
			return err
		}
	}
	if s.TLS.AdminClientCAFile != "" && !s.TLS.Admin {
		return fieldErrorf("$.tls.admin_client_ca_file", "needs $.tls.admin")
	}
	return nil
}

func (s *Settings) checkAdminKey() error {
	if s.AdminKeySHA256 == "" {
		return fieldErrorf("$.admin_key_sha256", "is required")
	}
	digest, err := hex.DecodeString(s.AdminKeySHA256)
	if err != nil || len(digest) != 32 {
		return fieldErrorf("$.admin_key_sha256", "must be the 64 hexadecimal digits of a SHA-256")
	}
	return nil
}

func (s *Settings) checkDrain() error {
	if s.DrainWaitMS < 0 {
		return fieldErrorf("$.drain_wait_ms", "must not be negative")
	}
	if s.DrainTimeoutMS <= s.DrainWaitMS {
		return fieldErrorf("$.drain_timeout_ms", "must exceed drain_wait_ms (%d), not %d", s.DrainWaitMS, s.DrainTimeoutMS)
	}
	return nil
}
