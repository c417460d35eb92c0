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
	var lines []logview.Line
	for _, name := range names {
		fileLines, err := readLog(name)
		if err != nil {
			return &usageError{message: err.Error()}
		}
		lines = append(lines, fileLines...)
	}
	requestLog, err := logview.Find(request, lines)
	if err != nil {
		return err
	}
	return r.printValue(requestLog, func() { a.printRequestLog(requestLog) })
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
func (a *app) printRequestLog(requestLog *logview.Story) {
	a.printf("request %s on %s\n", requestLog.Request, requestLog.Daemon)
	start := requestLog.Lines[0].At
	for _, line := range requestLog.Lines {
		if line.Own {
			start = line.At
			break
		}
	}
	for i := range requestLog.Lines {
		line := &requestLog.Lines[i]
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
	for _, daemon := range slices.Sorted(maps.Keys(requestLog.Offsets)) {
		a.printf("clock of %s: %+.3f s added\n", daemon, requestLog.Offsets[daemon].Seconds())
	}
}
