// Command boragelead is the command line for operators and developers.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"
)

func main() {
	flaggy.SetName("boragelead")
	flaggy.SetDescription("command line for operators and developers of boragelead")
	var options devOptions
	dev := flaggy.NewSubcommand("dev")
	dev.Description = "run a daemon and stand-in endpoints in one process on loopback"
	options.document = "examples/portfolio.json"
	options.listen = "127.0.0.1:8080"
	dev.String(&options.document, "d", "document", "operators' document")
	dev.String(&options.listen, "l", "listen", "address for callers")
	flaggy.AttachSubcommand(dev, 1)
	flaggy.Parse()
	if !dev.Used {
		flaggy.ShowHelp("")
		os.Exit(1)
	}
	if err := runDev(options); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
