package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/daemon"
	"github.com/boragelead/boragelead/internal/settings"
	"github.com/boragelead/boragelead/internal/telemetry"
	"github.com/boragelead/boragelead/standin/engine"
)

// devOptions are the flags of the dev command.
type devOptions struct {
	document string
	listen   string
}

func runDev(options devOptions) error {
	data, err := os.ReadFile(options.document)
	if err != nil {
		return err
	}
	doc, err := conf.Parse(data)
	if err != nil {
		return err
	}
	config := settings.Default()
	config.Name = "dev-1"
	config.FailureDomain = doc.Fleet.Domains[0].FailureDomain
	config.Listen.Callers = options.listen
	config.Listen.Endpoints = "127.0.0.1:8091"
	config.Listen.Peers = "127.0.0.1:8092"
	config.Listen.Admin = "127.0.0.1:8093"
	log, err := telemetry.NewLogger(config.Log)
	if err != nil {
		return err
	}
	d, err := daemon.Start(config, log, daemon.Options{})
	if err != nil {
		return err
	}
	defer d.Close()
	d.Config().Install(1, doc, conf.Digest(doc), time.Now())
	class := doc.Fleet.Classes[0]
	for i, domain := range doc.Fleet.Domains {
		e, err := engine.Start(engine.Config{
			ID: fmt.Sprintf("engine-%d", i+1), FailureDomain: domain.FailureDomain, Class: class.Name,
			Models: loadedModels(doc), Slots: class.Slots,
			Speed:   engine.ClassSpeed(class.PrefillTokensPerS, class.DecodeTokensPerS, class.Slots),
			Entries: []string{"http://" + config.Listen.Endpoints}, Listen: "127.0.0.1:0",
		})
		if err != nil {
			return err
		}
		defer e.Close()
	}
	log.Info("Ready.", zapAddress(options.listen))
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	return nil
}

func loadedModels(doc *conf.Document) []endpoint.LoadedModel {
	var models []endpoint.LoadedModel
	for _, m := range doc.Models {
		models = append(models, endpoint.LoadedModel{Name: m.Name, Version: m.Version, Adapters: m.Adapters})
	}
	return models
}

func zapAddress(address string) zap.Field { return zap.String("callers", address) }
