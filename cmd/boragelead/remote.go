package main

import (
	"context"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/integrii/flaggy"

	"github.com/boragelead/boragelead/internal/adminclient"
	"github.com/boragelead/boragelead/internal/tlsconfig"
)

const (
	// keyVariable is the environment variable that holds the operators' key.
	keyVariable    = "BORAGELEAD_ADMIN_KEY"
	defaultAddress = "127.0.0.1:8083"
	// defaultTimeout leaves time for an election and for a promotion to reach all daemons
	// (12 s).
	defaultTimeout = 20 * time.Second
)

// remote holds the flags of commands that call a daemon.
type remote struct {
	app     *app
	address string
	keyFile string
	json    bool
	timeout time.Duration
	// operator is the operator's name in the history.
	operator string
	tls      tlsconfig.Files
	// progressText is the text of the progress line.
	progressText atomic.Pointer[string]
}

// remoteFlags adds the flags for calling a daemon to a command.
func (a *app) remoteFlags(sub *flaggy.Subcommand) *remote {
	r := &remote{app: a, address: defaultAddress, timeout: defaultTimeout, operator: os.Getenv("USER")}
	sub.String(&r.address, "a", "address", "daemon's address for operators: IP:port or a URL")
	sub.String(&r.keyFile, "k", "key-file", "file with the operators' key; without it "+keyVariable+" is used")
	sub.Bool(&r.json, "j", "json", "print JSON")
	sub.Duration(&r.timeout, "t", "timeout", "time limit of the whole command")
	sub.String(&r.operator, "", "operator", "your name for the history")
	sub.String(&r.tls.CA, "", "ca-file", "CA certificate for the daemons' certificates (PEM); turns TLS on")
	sub.String(&r.tls.Cert, "", "cert-file", "your certificate (PEM), if the daemons require one")
	sub.String(&r.tls.Key, "", "cert-key-file", "private key of your certificate (PEM)")
	return r
}

// client returns a client for the daemon's operator interface.
func (r *remote) client() (*adminclient.Client, error) {
	key, err := r.key()
	if err != nil {
		return nil, err
	}
	options := adminclient.Options{Address: r.address, Key: key, Operator: r.operator}
	if r.tls != (tlsconfig.Files{}) || strings.HasPrefix(r.address, "https://") {
		if options.TLS, err = tlsconfig.ForOperator(r.tls); err != nil {
			return nil, err
		}
	}
	return adminclient.New(options), nil
}

// setProgress sets the text of the progress line.
func (r *remote) setProgress(text string) { r.progressText.Store(&text) }

func (r *remote) key() (string, error) {
	if r.keyFile == "" {
		if key := os.Getenv(keyVariable); key != "" {
			return key, nil
		}
		return "", &usageError{message: "the operators' key is missing: give --key-file or set " + keyVariable}
	}
	data, err := os.ReadFile(r.keyFile)
	if err != nil {
		return "", &usageError{message: err.Error()}
	}
	return strings.TrimSpace(string(data)), nil
}

// call runs use with a client of the daemon, within the time limit of the command and
// with a progress line.
func (r *remote) call(ctx context.Context, use func(ctx context.Context, client *adminclient.Client) error) error {
	client, err := r.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	r.setProgress("waiting for " + r.address)
	stop := r.app.progress(func() string { return *r.progressText.Load() })
	defer stop()
	return use(ctx, client)
}

// printValue prints value as JSON if --json is set, and calls printText otherwise.
func (r *remote) printValue(value any, printText func()) error {
	if r.json {
		return r.app.printJSON(value)
	}
	printText()
	return nil
}
