package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/boragelead/boragelead/internal/adminclient"
	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/status"
)

// maxHistory is the maximum number of generations that a daemon returns at once.
const maxHistory = 200

func registerConfig(a *app) {
	group := a.group("config", "check, compare, promote and show the operators' document")
	registerCheck(a, group)
	registerDiff(a, group)
	registerPromote(a, group)
	registerHistory(a, group)
	registerShow(a, group)
}

func readDocument(path string) ([]byte, *conf.Document, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, &usageError{message: err.Error()}
	}
	doc, err := conf.Parse(data)
	return data, doc, err
}

func registerCheck(a *app, group *flaggy.Subcommand) {
	var file string
	var asJSON bool
	sub := a.add(group, "check", "report every mistake in a document without calling a daemon", []string{
		"boragelead config check examples/portfolio.json",
		"boragelead config check --json production.json",
	}, func(context.Context) error {
		_, doc, err := readDocument(file)
		if asJSON {
			return a.checkJSON(err)
		}
		if err != nil {
			return err
		}
		a.printf("%s is valid: environment %s, %d ranks, %d models, %d workspaces, digest %s\n",
			file, doc.Environment, len(doc.Ranks), len(doc.Models), len(doc.Workspaces), conf.Digest(doc)[:12])
		return nil
	})
	sub.AddPositionalValue(&file, "file", 1, true, "operators' document")
	sub.Bool(&asJSON, "j", "json", "print JSON")
}

// checkJSON prints the problems of a document as JSON. The list is empty for a valid
// document.
func (a *app) checkJSON(err error) error {
	problems := []conf.Problem{}
	invalid, ok := err.(*conf.ValidationError)
	if ok {
		problems = invalid.Problems
	}
	if err != nil && !ok {
		return err
	}
	if printErr := a.printJSON(map[string]any{"valid": err == nil, "problems": problems}); printErr != nil {
		return printErr
	}
	return err
}

func registerDiff(a *app, group *flaggy.Subcommand) {
	var file, other string
	var r *remote
	sub := a.add(group, "diff", "compare a document with the one in force, or two files", []string{
		"boragelead config diff production.json --address 10.0.1.11:8083 --key-file key",
		"boragelead config diff trial.json production.json",
	}, func(ctx context.Context) error {
		_, after, err := readDocument(file)
		if err != nil {
			return err
		}
		before, err := r.comparisonDocument(ctx, other)
		if err != nil {
			return err
		}
		if other != "" {
			before, after = after, before
		}
		changes := conf.Diff(before, after)
		if changes == nil {
			changes = []conf.Change{}
		}
		return r.printValue(changes, func() { a.printChanges(changes) })
	})
	sub.AddPositionalValue(&file, "file", 1, true, "new document, or the old one of two files")
	sub.AddPositionalValue(&other, "other", 2, false, "new document of two files")
	r = a.remoteFlags(sub)
}

// comparisonDocument returns the document in file, or the document in force if file is
// empty.
func (r *remote) comparisonDocument(ctx context.Context, file string) (*conf.Document, error) {
	if file != "" {
		_, doc, err := readDocument(file)
		return doc, err
	}
	var doc *conf.Document
	err := r.call(ctx, func(ctx context.Context, client *adminclient.Client) error {
		current, err := client.Config(ctx)
		if err != nil {
			return err
		}
		doc, err = conf.Parse(current.Document)
		return err
	})
	return doc, err
}

func (a *app) printChanges(changes []conf.Change) {
	if len(changes) == 0 {
		a.printf("no changes\n")
	}
	for _, c := range changes {
		switch c.Kind {
		case conf.Added:
			a.printf("+ %s %s\n", c.Path, c.New)
		case conf.Removed:
			a.printf("- %s %s\n", c.Path, c.Old)
		default:
			a.printf("~ %s %s: %s -> %s\n", c.Path, c.Kind, c.Old, c.New)
		}
	}
}

func registerHistory(a *app, group *flaggy.Subcommand) {
	limit := 20
	var r *remote
	sub := a.add(group, "history", "list the promoted generations, newest first", []string{
		"boragelead config history --limit 5",
		"boragelead config history --json",
	}, func(ctx context.Context) error {
		var list []status.Config
		err := r.call(ctx, func(ctx context.Context, client *adminclient.Client) (err error) {
			list, err = client.History(ctx, limit, false)
			return err
		})
		if err != nil {
			return err
		}
		return r.printValue(list, func() { a.printHistory(list) })
	})
	sub.Int(&limit, "n", "limit", "number of generations, at most 200")
	r = a.remoteFlags(sub)
}

func (a *app) printHistory(list []status.Config) {
	table := a.newTable()
	table.row("GENERATION", "OPERATOR", "OPERATION", "DIGEST")
	for _, g := range list {
		table.row(g.Generation, g.Operator, g.OperationID, fmt.Sprintf("%.12s", g.Digest))
	}
	table.flush()
}

func registerShow(a *app, group *flaggy.Subcommand) {
	generation := 0
	var r *remote
	sub := a.add(group, "show", "print the document in force, or an earlier generation", []string{
		"boragelead config show > production.json",
		"boragelead config show --generation 41",
		"boragelead config show --json   # with generation, ETag and operator",
	}, func(ctx context.Context) error {
		config, err := r.fetchGeneration(ctx, generation)
		if err != nil {
			return err
		}
		return r.printValue(config, func() { a.printDocument(config.Document) })
	})
	sub.Int(&generation, "g", "generation", "number of an earlier generation; 0 means the newest")
	r = a.remoteFlags(sub)
}

// printDocument prints a document indented, because daemons return it without whitespace.
func (a *app) printDocument(document []byte) {
	var indented bytes.Buffer
	if err := json.Indent(&indented, document, "", "  "); err != nil {
		a.printf("%s\n", document)
		return
	}
	a.printf("%s\n", indented.Bytes())
}

func (r *remote) fetchGeneration(ctx context.Context, number int) (status.Config, error) {
	var found status.Config
	err := r.call(ctx, func(ctx context.Context, client *adminclient.Client) (err error) {
		if number == 0 {
			found, err = client.Config(ctx)
			return err
		}
		list, err := client.History(ctx, maxHistory, true)
		if err != nil {
			return err
		}
		for _, g := range list {
			if g.Generation == uint64(number) {
				found = g
				return nil
			}
		}
		return &adminclient.Error{Detail: status.ErrorDetail{Code: status.CodeNotFound, Message: fmt.Sprintf("generation %d is not among the newest %d", number, maxHistory)}}
	})
	return found, err
}
