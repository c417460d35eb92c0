package main

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/boragelead/boragelead/internal/load"
	"github.com/boragelead/boragelead/internal/rig"
)

// loadOptions are the flags of the load command.
type loadOptions struct {
	address, key, model, rank, user string
	rate                            float64
	concurrency, prompt, tokens     int
	duration, grace                 time.Duration
	seed                            uint64
	verify, json                    bool
}

// registerLoad adds the command that sends calls to a daemon and measures the responses.
func registerLoad(a *app) {
	options := loadOptions{
		address: "127.0.0.1:8080", concurrency: 8, prompt: 600, tokens: 64,
		duration: 10 * time.Second, grace: 30 * time.Second, seed: 1,
	}
	sub := a.add(nil, "load", "send streamed calls to a daemon and report what callers see", []string{
		"boragelead load --address 127.0.0.1:8080 --key dev-north --model atelier-8b --rate 50",
		"boragelead load --key dev-north --model atelier-8b --concurrency 32 --duration 30s --json",
	}, func(ctx context.Context) error { return a.load(ctx, options) })
	sub.String(&options.address, "a", "address", "daemon's address for callers: IP:port or a URL")
	sub.String(&options.key, "k", "key", "key of the caller")
	sub.String(&options.model, "m", "model", "model to call")
	sub.String(&options.rank, "", "rank", "rank of the calls; the key's default without it")
	sub.String(&options.user, "u", "user", "name of the caller")
	sub.Float64(&options.rate, "r", "rate", "calls per second (open loop); 0 keeps --concurrency calls open (closed loop)")
	sub.Int(&options.concurrency, "c", "concurrency", "callers of the closed loop")
	sub.Int(&options.prompt, "", "prompt-bytes", "length of a prompt")
	sub.Int(&options.tokens, "", "max-tokens", "length of an answer")
	sub.Duration(&options.duration, "d", "duration", "how long calls are sent")
	sub.Duration(&options.grace, "", "grace", "time to wait for answers after the last call")
	sub.UInt64(&options.seed, "", "seed", "seed of prompts and arrivals")
	sub.Bool(&options.verify, "", "verify", "check the answers, which stand-in engines derive from the prompt")
	sub.Bool(&options.json, "j", "json", "print JSON")
}

// check returns an error for the first invalid flag.
func (o *loadOptions) check() error {
	switch {
	case o.key == "" || o.model == "":
		return &usageError{message: "--key and --model are required"}
	case o.rate < 0 || o.rate == 0 && o.concurrency < 1:
		return &usageError{message: "give a positive --rate or --concurrency"}
	case o.duration <= 0 || o.tokens < 1 || o.prompt < 1:
		return &usageError{message: "--duration, --max-tokens and --prompt-bytes must be positive"}
	}
	return nil
}

func (a *app) load(ctx context.Context, o loadOptions) error {
	if err := o.check(); err != nil {
		return err
	}
	if !strings.Contains(o.address, "://") {
		o.address = "http://" + o.address
	}
	config := load.Config{
		Streams: []load.Stream{{
			Name: "load", Rate: o.rate, Concurrency: o.concurrency, PromptBytes: o.prompt,
			Call: load.Call{Key: o.key, Model: o.model, Rank: o.rank, User: o.user, MaxTokens: o.tokens},
		}},
		Duration: o.duration, Grace: o.grace, Seed: o.seed,
		Progress: func(done int) { a.note("%d calls finished", done) },
	}
	if o.verify {
		config.Verify = rig.Verify
	}
	target := &load.OpenAITarget{BaseURL: strings.TrimSuffix(o.address, "/"), Client: &http.Client{Transport: load.NewTransport()}}
	reports := load.Run(ctx, target, config)
	if o.json {
		return a.printJSON(reports)
	}
	load.WriteTable(a.out, reports)
	return nil
}
