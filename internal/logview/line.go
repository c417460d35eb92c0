package logview

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/rotisserie/eris"
)

// maxLineBytes limits the length of a line. Read returns an error at a longer one.
const maxLineBytes = 1 << 20

// Line is one line of the log of a daemon.
type Line struct {
	Daemon  string
	Message string
	// Time is the time by the clock of the daemon.
	Time time.Time
	// Fields holds the other fields of the line, without the name of the logger.
	Fields map[string]any
}

// stringField returns the value of a string field, or "" if there is none.
func (l *Line) stringField(name string) string {
	value, _ := l.Fields[name].(string)
	return value
}

// numberField returns the value of a numeric field, or 0 if there is none.
func (l *Line) numberField(name string) float64 {
	value, _ := l.Fields[name].(float64)
	return value
}

// stringListField returns the strings in a list field.
func (l *Line) stringListField(name string) []string {
	values, _ := l.Fields[name].([]any)
	var list []string
	for _, value := range values {
		if text, ok := value.(string); ok {
			list = append(list, text)
		}
	}
	return list
}

// Read parses a log. It skips text before the JSON object of a line, which a log
// collector may add, and lines that are not log lines of a daemon.
func Read(r io.Reader) ([]Line, error) {
	var list []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if line, ok := parseLine(scanner.Bytes()); ok {
			list = append(list, line)
		}
	}
	return list, eris.Wrap(scanner.Err(), "read log")
}

func parseLine(data []byte) (Line, bool) {
	start := bytes.IndexByte(data, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := make(map[string]any)
	if json.Unmarshal(data[start:], &fields) != nil {
		return Line{}, false
	}
	line := Line{Fields: fields}
	line.Daemon, line.Message = line.stringField("daemon"), line.stringField("msg")
	timestamp, err := time.Parse(time.RFC3339Nano, line.stringField("ts"))
	if err != nil || line.Message == "" {
		return Line{}, false
	}
	line.Time = timestamp
	for _, name := range []string{"daemon", "msg", "ts", "logger"} {
		delete(fields, name)
	}
	return line, true
}
