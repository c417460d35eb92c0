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
	// defaultTimeout covers an election and a promotion to all daemons (12 s).
	defaultTimeout = 20 * time.Second
)

// remote holds the flags of commands that ask a daemon.
type remote struct {
	app     *app
	address string
	keyFile string
	json    bool
	timeout time.Duration
	// operator names the person in histories.
	operator string
	tls      tlsconfig.Files
	// waiting says what the progress line shows.
	waiting atomic.Pointer[string]
}

// remoteFlags adds the flags to a command.
func (a *app) remoteFlags(sub *flaggy.Subcommand) *remote {
	r := &remote{app: a, address: defaultAddress, timeout: defaultTimeout, operator: os.Getenv("USER")}
	sub.String(&r.address, "a", "address", "daemon's address for operators: IP:port or a URL")
	sub.String(&r.keyFile, "k", "key-file", "file with the operators' key; without it "+keyVariable+" is used")
	sub.Bool(&r.json, "j", "json", "print JSON")
	sub.Duration(&r.timeout, "t", "timeout", "bound of the whole command")
	sub.String(&r.operator, "", "operator", "your name for the history")
	sub.String(&r.tls.CA, "", "ca-file", "authority of the daemons' certificates (PEM); turns TLS on")
	sub.String(&r.tls.Cert, "", "cert-file", "your certificate (PEM), where the daemons demand one")
	sub.String(&r.tls.Key, "", "cert-key-file", "private key of your certificate (PEM)")
	return r
}

// client returns a client of the daemon.
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

// waitFor sets the text of the progress line.
func (r *remote) waitFor(what string) { r.waiting.Store(&what) }

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

// ask calls the daemon with the time limit of the command and a progress line.
func (r *remote) ask(ctx context.Context, use func(ctx context.Context, client *adminclient.Client) error) error {
	client, err := r.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	r.waitFor("waiting for " + r.address)
	stop := r.app.progress(func() string { return *r.waiting.Load() })
	defer stop()
	return use(ctx, client)
}

// show prints an answer as JSON where asked for, and by the function otherwise.
func (r *remote) show(answer any, text func()) error {
	if r.json {
		return r.app.printJSON(answer)
	}
	text()
	return nil
}
