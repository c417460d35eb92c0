package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/rig"
	"github.com/boragelead/boragelead/internal/settings"
	"github.com/boragelead/boragelead/internal/telemetry"
	"github.com/boragelead/boragelead/standin/engine"
	"github.com/boragelead/boragelead/standin/service"
)

// devOptions are the flags of the dev command.
type devOptions struct {
	document, listen, admin, folder, logLevel string
	daemons                                   int
}

// devStartTimeout bounds the time that the daemons and endpoints take to start.
const devStartTimeout = 20 * time.Second

// registerDev adds the command that runs a small system on loopback addresses.
func registerDev(a *app) {
	options := devOptions{
		document: "examples/portfolio.json", listen: "127.0.0.1:8080", admin: "127.0.0.1:8083", logLevel: "warn", daemons: 1,
	}
	sub := a.add(nil, "dev", "run daemons, state replicas and stand-in endpoints in one process on loopback", []string{
		"boragelead dev",
		"boragelead dev --document examples/calendar.json --listen 127.0.0.1:8090 --admin 127.0.0.1:8093",
	}, func(ctx context.Context) error { return a.runDev(ctx, options) })
	sub.String(&options.document, "d", "document", "operators' document")
	sub.String(&options.listen, "l", "listen", "address for callers, of the first daemon")
	sub.String(&options.admin, "a", "admin", "address for operators, of the first daemon")
	sub.String(&options.folder, "f", "folder", "data folder that is kept; without it, the state is lost when the command ends")
	sub.String(&options.logLevel, "", "log-level", "debug, info, warn or error")
	sub.Int(&options.daemons, "n", "daemons", "daemons per failure domain")
}

func (a *app) runDev(ctx context.Context, options devOptions) error {
	data, err := os.ReadFile(options.document)
	if err != nil {
		return err
	}
	log, err := telemetry.NewLogger(settings.Log{Level: options.logLevel, Format: "console"})
	if err != nil {
		return err
	}
	r, err := rig.Start(rig.Config{
		Document: data, Daemons: options.daemons, Folder: options.folder,
		CallerAddress: options.listen, AdminAddress: options.admin, Log: log,
	})
	if err != nil {
		return err
	}
	defer r.Close()
	if err := addEndpoints(r); err != nil {
		return err
	}
	if err := r.Await(devStartTimeout); err != nil {
		return err
	}
	a.printDevHints(r, options)
	<-ctx.Done()
	return nil
}

// addEndpoints starts a model engine of each VM class and an endpoint of each plain
// service in each failure domain.
func addEndpoints(r *rig.Rig) error {
	doc := r.Document()
	for _, domain := range r.Domains() {
		for _, class := range doc.Fleet.Classes {
			if _, err := r.AddEngine(engineConfig(domain, class)); err != nil {
				return err
			}
		}
		for _, s := range doc.Services {
			if _, err := r.AddService(service.Config{FailureDomain: domain, Service: s.Name}); err != nil {
				return err
			}
		}
	}
	return nil
}

func engineConfig(domain string, class conf.MachineClass) engine.Config {
	return engine.Config{
		FailureDomain: domain, Class: class.Name, Slots: class.Slots, Reclaimable: true,
		Speed: engine.ClassSpeed(class.PrefillTokensPerS, class.DecodeTokensPerS, class.Slots),
	}
}

func (a *app) printDevHints(r *rig.Rig, options devOptions) {
	doc := r.Document()
	a.printf("%d daemons, %d engines in %d failure domains; Ctrl-C stops them.\n", len(r.Daemons()), len(r.Engines()), len(r.Domains()))
	a.printf("operators: boragelead status --address %s with BORAGELEAD_ADMIN_KEY=%s\n", options.admin, rig.AdminKey)
	a.printf("callers:   curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \\\n", options.listen, devKey(doc))
	a.printf("             -d '{\"model\":%q,\"stream\":true,\"max_tokens\":8,\"messages\":[{\"role\":\"user\",\"content\":\"Hello\"}]}'\n", doc.Models[0].Name)
}

// devKey returns the key of the first workspace if the document is one of the examples,
// and a placeholder otherwise.
func devKey(doc *conf.Document) string {
	for _, secret := range []string{"dev-north", "dev-district"} {
		if workspace, _ := doc.Authenticate(secret); workspace != nil {
			return secret
		}
	}
	return fmt.Sprintf("(a key of workspace %s)", doc.Workspaces[0].Name)
}
