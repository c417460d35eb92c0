package main

import "context"

// registerDev adds the command that runs a small system on loopback.
func registerDev(a *app) {
	options := devOptions{document: "examples/portfolio.json", listen: "127.0.0.1:8080"}
	sub := a.add(nil, "dev", "run a daemon and stand-in endpoints in one process on loopback", []string{
		"boragelead dev",
		"boragelead dev --document examples/calendar.json --listen 127.0.0.1:8090",
	}, func(context.Context) error { return runDev(options) })
	sub.String(&options.document, "d", "document", "operators' document")
	sub.String(&options.listen, "l", "listen", "address for callers")
}
