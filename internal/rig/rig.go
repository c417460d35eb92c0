package rig

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/daemon"
	"github.com/boragelead/boragelead/internal/port"
	"github.com/boragelead/boragelead/internal/settings"
	"github.com/boragelead/boragelead/standin/engine"
	"github.com/boragelead/boragelead/standin/service"
)

// AdminKey is the operators' key of the daemons of all rigs.
const AdminKey = "dev-admin"

// promoteTimeout limits the wait for the state replicas to start and for the first
// promotion to complete, and then the wait for all daemons to apply the document.
const promoteTimeout = 20 * time.Second

// loopback is a listen address on the loopback interface with a port that the
// operating system chooses.
const loopback = "127.0.0.1:0"

// Config describes a rig. Only Document is required.
type Config struct {
	// Document is the operators' document in JSON.
	Document []byte
	// Daemons is the number of daemons per failure domain; 0 means 1.
	Daemons int
	// Replicas is the number of daemons that are state replicas; 0 means 3, or
	// all daemons if there are fewer.
	Replicas int
	// Folder holds the data folders of the state replicas. If it is empty, the rig
	// uses a temporary folder, which Close removes.
	Folder string
	// Domains limits the number of failure domains; 0 uses all of the document.
	Domains int
	// CallerAddress and AdminAddress are the listen addresses of the first daemon.
	// If they are empty, the operating system chooses the ports.
	CallerAddress, AdminAddress string
	// Options are the options of all daemons.
	Options daemon.Options
	// Settings, if not nil, is called to modify the settings of each daemon before it starts.
	Settings func(*settings.Settings)
	Log      *zap.Logger
}

// Rig is a running set of daemons and endpoints.
type Rig struct {
	config    Config
	doc       *conf.Document
	folder    string
	temporary bool
	mu        sync.Mutex
	// replicas are the names and addresses of the state replicas. listeners are
	// their listeners and those opened for other daemons.
	listeners []net.Listener
	replicas  []settings.Peer
	daemons   []*daemon.Daemon
	engines   []*engine.Engine
	services  []*service.Service
	// EngineLedger and ServiceLedger record the runs of the endpoints.
	EngineLedger  *engine.Ledger
	ServiceLedger *service.Ledger
}

// Start starts the daemons of a rig and promotes the document. Endpoints are
// added afterwards with AddEngine and AddService.
func Start(config Config) (*Rig, error) {
	doc, err := conf.Parse(config.Document)
	if err != nil {
		return nil, err
	}
	if config.Log == nil {
		config.Log = zap.NewNop()
	}
	config.Daemons = max(config.Daemons, 1)
	if config.Domains <= 0 || config.Domains > len(doc.Fleet.Domains) {
		config.Domains = len(doc.Fleet.Domains)
	}
	r := &Rig{config: config, doc: doc, EngineLedger: engine.NewLedger(), ServiceLedger: service.NewLedger()}
	if err := r.prepareFolder(); err != nil {
		return nil, err
	}
	if err := r.startDaemons(); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

func (r *Rig) prepareFolder() error {
	r.folder = r.config.Folder
	if r.folder != "" {
		return eris.Wrap(os.MkdirAll(r.folder, 0o700), "create data folder")
	}
	folder, err := os.MkdirTemp("", "boragelead-")
	r.folder, r.temporary = folder, true
	return eris.Wrap(err, "create temporary data folder")
}

// Domains returns the failure domains of the rig.
func (r *Rig) Domains() []string {
	var domains []string
	for _, domain := range r.doc.Fleet.Domains[:r.config.Domains] {
		domains = append(domains, domain.FailureDomain)
	}
	return domains
}

// Document returns the operators' document from the configuration of the rig.
func (r *Rig) Document() *conf.Document { return r.doc }

func (r *Rig) startDaemons() error {
	if err := r.openReplicaListeners(); err != nil {
		return err
	}
	for i := range r.config.Daemons * r.config.Domains {
		domain := r.doc.Fleet.Domains[i%r.config.Domains]
		if _, err := r.AddDaemon(domain.FailureDomain, domain.Region); err != nil {
			return err
		}
	}
	return r.promote()
}

// openReplicaListeners opens the listeners of the state replicas before any daemon
// starts, because the settings of each replica list the addresses of all replicas.
func (r *Rig) openReplicaListeners() error {
	total := r.config.Daemons * r.config.Domains
	if r.config.Replicas <= 0 {
		r.config.Replicas = min(3, total)
	}
	for i := range min(r.config.Replicas, total) {
		listener, err := listenForPeers()
		if err != nil {
			return err
		}
		r.listeners = append(r.listeners, listener)
		r.replicas = append(r.replicas, settings.Peer{Name: daemonName(i + 1), Address: listener.Addr().String()})
	}
	return nil
}

// maxListenAttempts limits the search for a port that is free for TCP and UDP.
const maxListenAttempts = 20

// listenForPeers opens a TCP listener on a port that is free for UDP as well,
// because a daemon listens on the same port number with both protocols.
func listenForPeers() (net.Listener, error) {
	var lastErr error
	for range maxListenAttempts {
		listener, err := net.Listen("tcp", loopback)
		if err != nil {
			return nil, eris.Wrap(err, "listen for daemons")
		}
		packets, err := net.ListenPacket("udp", listener.Addr().String())
		if err == nil {
			_ = packets.Close()
			return listener, nil
		}
		_ = listener.Close()
		lastErr = err
	}
	return nil, eris.Wrap(lastErr, "find a port that is free for TCP and UDP")
}

// promote promotes the document as an operator would, and waits until all daemons
// have applied it. If the data folder already holds a promoted document, that
// document stays in force.
func (r *Rig) promote() error {
	ctx, cancel := context.WithTimeout(context.Background(), promoteTimeout)
	defer cancel()
	ledger := r.daemons[0].Ledger()
	current, err := ledger.Current(ctx)
	if err != nil {
		return eris.Wrap(err, "read the configuration")
	}
	if current.Number == 0 {
		_, err = ledger.Promote(ctx, port.PromoteRequest{OperationID: "rig", Document: r.config.Document, Operator: "rig"})
		if err != nil {
			return eris.Wrap(err, "promote the document")
		}
	}
	return r.await(promoteTimeout, "the configuration", func() bool {
		for _, d := range r.Daemons() {
			if d.Config().Current() == nil {
				return false
			}
		}
		return true
	})
}

func daemonName(number int) string { return fmt.Sprintf("entry-%d", number) }

// AddDaemon starts another daemon in a failure domain.
func (r *Rig) AddDaemon(domain, region string) (*daemon.Daemon, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	number := len(r.daemons) + 1
	config := settings.Default()
	config.Name = daemonName(number)
	config.FailureDomain = domain
	config.Region = region
	config.Listen = settings.Listen{Callers: loopback, Endpoints: loopback, Peers: loopback, Admin: loopback}
	config.AdminKeySHA256 = hashKey(AdminKey)
	options := r.config.Options
	r.configureReplica(config, &options, number)
	if number == 1 {
		overrideAddress(&config.Listen.Callers, r.config.CallerAddress)
		overrideAddress(&config.Listen.Admin, r.config.AdminAddress)
	}
	for _, other := range r.daemons {
		config.Peers = append(config.Peers, settings.Peer{Name: other.Name(), Address: other.PeerAddress()})
	}
	if r.config.Settings != nil {
		r.config.Settings(config)
	}
	d, err := daemon.Start(config, r.config.Log, options)
	if err != nil {
		return nil, err
	}
	r.daemons = append(r.daemons, d)
	return d, nil
}

// configureReplica sets the addresses of the state replicas and the peer listener
// of a daemon. The first daemons are configured as state replicas.
func (r *Rig) configureReplica(config *settings.Settings, options *daemon.Options, number int) {
	config.StateReplicas = r.replicas
	if number > len(r.replicas) {
		if options.PeerListener, _ = listenForPeers(); options.PeerListener != nil {
			r.listeners = append(r.listeners, options.PeerListener)
		}
		return
	}
	config.DataFolder = filepath.Join(r.folder, config.Name)
	config.Replica = &settings.Replica{Bootstrap: r.replicas}
	options.PeerListener = r.listeners[number-1]
}

func overrideAddress(field *string, address string) {
	if address != "" {
		*field = address
	}
}

func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Daemons returns the daemons in the order of their start.
func (r *Rig) Daemons() []*daemon.Daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*daemon.Daemon(nil), r.daemons...)
}

// Engines returns the engines in the order of their start.
func (r *Rig) Engines() []*engine.Engine {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*engine.Engine(nil), r.engines...)
}

// entryURLs returns the URLs of the daemons in a failure domain. Endpoints of that
// domain announce themselves to these daemons only. The list is rotated by
// offset, so that endpoints differ in the daemon that comes first.
func (r *Rig) entryURLs(domain string, offset int) []string {
	var urls []string
	for _, d := range r.daemons {
		if d.FailureDomain() == domain {
			urls = append(urls, "http://"+d.EndpointAddress())
		}
	}
	if len(urls) > 0 {
		first := offset % len(urls)
		urls = append(urls[first:len(urls):len(urls)], urls[:first]...)
	}
	return urls
}

// AddEngine starts an engine. If the configuration names no models, the engine
// has all models of the document.
func (r *Rig) AddEngine(config engine.Config) (*engine.Engine, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	number := len(r.engines) + 1
	if config.ID == "" {
		config.ID = fmt.Sprintf("engine-%d", number)
	}
	if config.Models == nil {
		config.Models = LoadedModels(r.doc)
	}
	config.Entries = r.entryURLs(config.FailureDomain, number)
	config.Listen = loopback
	config.Ledger = r.EngineLedger
	e, err := engine.Start(config)
	if err != nil {
		return nil, eris.Wrap(err, "start engine")
	}
	r.engines = append(r.engines, e)
	return e, nil
}

// ReplaceEngine replaces an engine that stopped by a new one with the same name.
func (r *Rig) ReplaceEngine(old *engine.Engine) (*engine.Engine, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, err := old.Replace()
	if err != nil {
		return nil, eris.Wrap(err, "replace engine")
	}
	for i, current := range r.engines {
		if current == old {
			r.engines[i] = e
			return e, nil
		}
	}
	r.engines = append(r.engines, e)
	return e, nil
}

// Services returns the endpoints of plain services in the order of their start.
func (r *Rig) Services() []*service.Service {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*service.Service(nil), r.services...)
}

// AddService starts an endpoint of a plain service.
func (r *Rig) AddService(config service.Config) (*service.Service, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	number := len(r.services) + 1
	if config.ID == "" {
		config.ID = fmt.Sprintf("service-%d", number)
	}
	config.Entries = r.entryURLs(config.FailureDomain, number)
	config.Listen = loopback
	config.Ledger = r.ServiceLedger
	s, err := service.Start(config)
	if err != nil {
		return nil, eris.Wrap(err, "start service")
	}
	r.services = append(r.services, s)
	return s, nil
}

// LoadedModels returns the models of a document in the form in which an engine
// announces them.
func LoadedModels(doc *conf.Document) []endpoint.LoadedModel {
	var models []endpoint.LoadedModel
	for _, m := range doc.Models {
		models = append(models, endpoint.LoadedModel{Name: m.Name, Version: m.Version, Adapters: m.Adapters})
	}
	return models
}

// awaitPollInterval is the interval between two checks of an awaited condition.
const awaitPollInterval = 20 * time.Millisecond

// TimeoutError reports that a rig did not become ready in time. What names the
// missing condition.
type TimeoutError struct{ What string }

// Error implements error.
func (e *TimeoutError) Error() string { return "timed out while waiting for " + e.What }

// Await waits until each daemon has a configuration and knows the endpoints of its
// failure domain.
func (r *Rig) Await(timeout time.Duration) error {
	return r.await(timeout, "the endpoints", r.endpointsKnown)
}

func (r *Rig) await(timeout time.Duration, what string, done func() bool) error {
	deadline := time.Now().Add(timeout)
	for !done() {
		if time.Now().After(deadline) {
			return &TimeoutError{What: what}
		}
		time.Sleep(awaitPollInterval)
	}
	return nil
}

func (r *Rig) endpointsKnown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	expected := make(map[string]int)
	for _, e := range r.engines {
		expected[e.FailureDomain()]++
	}
	for _, s := range r.services {
		expected[s.FailureDomain()]++
	}
	for _, d := range r.daemons {
		if len(d.Registry().List()) < expected[d.FailureDomain()] || d.Config().Current() == nil {
			return false
		}
	}
	return true
}

// Close stops all daemons and endpoints and removes a temporary folder.
func (r *Rig) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, listener := range r.listeners {
		_ = listener.Close()
	}
	for _, e := range r.engines {
		e.Close()
	}
	for _, s := range r.services {
		s.Close()
	}
	var group sync.WaitGroup
	for _, d := range r.daemons {
		group.Go(d.Close)
	}
	group.Wait()
	if r.temporary {
		_ = os.RemoveAll(r.folder)
	}
}
