package main

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/boragelead/boragelead/internal/logview"
)

// explainFromLogs prints the events of a request from log files.
func (a *app) explainFromLogs(request string, names []string, r *remote) error {
	lines, err := readLogs(names)
	if err != nil {
		return err
	}
	timeline, err := logview.Find(request, lines)
	if err != nil {
		return err
	}
	return r.printValue(timeline, func() { a.printTimeline(timeline) })
}

// readLogs reads several log files. The error is a *usageError.
func readLogs(names []string) ([]logview.Line, error) {
	var lines []logview.Line
	for _, name := range names {
		fileLines, err := readLog(name)
		if err != nil {
			return nil, &usageError{message: err.Error()}
		}
		lines = append(lines, fileLines...)
	}
	return lines, nil
}

func readLog(name string) ([]logview.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return logview.Read(file)
}

// printRequestLog prints the log lines with their time since the first line of the
// request itself. The request's own lines are marked with an asterisk.
func (a *app) printTimeline(timeline *logview.Timeline) {
	a.printf("request %s on %s\n", timeline.Request, timeline.Daemon)
	start := timeline.Lines[0].At
	for _, line := range timeline.Lines {
		if line.Own {
			start = line.At
			break
		}
	}
	for i := range timeline.Lines {
		line := &timeline.Lines[i]
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
	for _, daemon := range slices.Sorted(maps.Keys(timeline.Offsets)) {
		a.printf("clock of %s: %+.3f s added\n", daemon, timeline.Offsets[daemon].Seconds())
	}
}
