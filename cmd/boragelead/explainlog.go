package main

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/boragelead/boragelead/internal/logview"
)

// explainFromLogs shows the path of a request from collected log files.
func (a *app) explainFromLogs(request string, names []string, r *remote) error {
	var lines []logview.Line
	for _, name := range names {
		list, err := readLog(name)
		if err != nil {
			return &usageError{message: err.Error()}
		}
		lines = append(lines, list...)
	}
	story, err := logview.Find(request, lines)
	if err != nil {
		return err
	}
	return r.show(story, func() { a.printStory(story) })
}

func readLog(name string) ([]logview.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return logview.Read(file)
}

// printStory prints the lines with their time since the first one of the
// request; those of the request itself are marked.
func (a *app) printStory(story *logview.Story) {
	a.printf("request %s on %s\n", story.Request, story.Daemon)
	start := story.Lines[0].At
	for _, line := range story.Lines {
		if line.Own {
			start = line.At
			break
		}
	}
	for i := range story.Lines {
		line := &story.Lines[i]
		mark := " "
		if line.Own {
			mark = "*"
		}
		parts := []string{fmt.Sprintf("%s %10.1f ms  %-20s %s", mark, line.At.Sub(start).Seconds()*1000, line.Daemon, line.Message)}
		for _, name := range slices.Sorted(maps.Keys(line.Fields)) {
			if name != "level" && name != "request" {
				parts = append(parts, fmt.Sprintf("%s=%v", name, line.Fields[name]))
			}
		}
		a.printf("%s\n", strings.Join(parts, "  "))
	}
	for _, daemon := range slices.Sorted(maps.Keys(story.Offsets)) {
		a.printf("clock of %s: %+.3f s added\n", daemon, story.Offsets[daemon].Seconds())
	}
}
