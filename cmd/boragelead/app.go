package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/integrii/flaggy"
)

// progressInterval is the time between two progress lines.
const progressInterval = 2 * time.Second

// app holds the commands and the outputs of one run of the program.
type app struct {
	parser   *flaggy.Parser
	commands []*command
	out, err io.Writer
	// notes serialises lines on err, because a command and its progress line may write at
	// the same time.
	notes sync.Mutex
}

// command is a leaf of the command tree.
type command struct {
	*flaggy.Subcommand
	run func(ctx context.Context) error
}

func newApp(out, err io.Writer) *app {
	a := &app{parser: flaggy.NewParser("boragelead"), out: out, err: err}
	a.parser.Description = "command line for operators and developers of boragelead"
	a.parser.ShowVersionWithVersionFlag = false
	a.parser.AdditionalHelpAppend = "\nExit codes: docs/command-line.md"
	for _, register := range registrations {
		register(a)
	}
	return a
}

// group adds a command that only has subcommands.
func (a *app) group(name, description string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	a.parser.AttachSubcommand(sub, 1)
	return sub
}

// add adds a command to a group, or at the top level if parent is nil. The help of the
// command shows the examples.
func (a *app) add(parent *flaggy.Subcommand, name, description string, examples []string, run func(ctx context.Context) error) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	sub.AdditionalHelpAppend = "\nExamples:\n  " + strings.Join(examples, "\n  ")
	if parent == nil {
		a.parser.AttachSubcommand(sub, 1)
	} else {
		parent.AttachSubcommand(sub, 1)
	}
	a.commands = append(a.commands, &command{Subcommand: sub, run: run})
	return sub
}

// run parses the arguments, runs the command and returns the exit code.
func (a *app) run(ctx context.Context, args []string) int {
	if err := a.parser.ParseArgs(args); err != nil {
		_, _ = fmt.Fprintln(a.err, err)
		return exitUsage
	}
	for _, c := range a.commands {
		if c.Used {
			return a.report(c.run(ctx))
		}
	}
	a.parser.ShowHelp()
	return exitUsage
}

// report prints an error, if any, and returns its exit code.
func (a *app) report(err error) int {
	if err != nil {
		for _, line := range explainError(err) {
			_, _ = fmt.Fprintln(a.err, line)
		}
	}
	return exitCode(err)
}

func (a *app) printf(format string, args ...any) { _, _ = fmt.Fprintf(a.out, format, args...) }

// note writes a line to standard error.
func (a *app) note(format string, args ...any) {
	a.notes.Lock()
	defer a.notes.Unlock()
	_, _ = fmt.Fprintf(a.err, format+"\n", args...)
}

func (a *app) printJSON(value any) error {
	encoder := json.NewEncoder(a.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// progress prints what the command waits for at each progressInterval until the
// returned function is called.
func (a *app) progress(text func() string) (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	started := time.Now()
	go func() {
		defer close(ended)
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				a.note("%s (%.0f s)", text(), time.Since(started).Seconds())
			case <-done:
				return
			}
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}
