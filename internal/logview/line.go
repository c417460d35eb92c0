package logview

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/rotisserie/eris"
)

// maxLine bounds one line, in bytes; longer ones are skipped.
const maxLine = 1 << 20

// Line is one line of a log.
type Line struct {
	Daemon  string
	Message string
	// Time is by the clock of the daemon.
	Time time.Time
	// Fields holds all other fields.
	Fields map[string]any
}

// text returns a field that holds a text, or "".
func (l *Line) text(name string) string {
	value, _ := l.Fields[name].(string)
	return value
}

// float returns a field that holds a number, or 0.
func (l *Line) float(name string) float64 {
	value, _ := l.Fields[name].(float64)
	return value
}

// texts returns a field that holds a list of texts.
func (l *Line) texts(name string) []string {
	values, _ := l.Fields[name].([]any)
	var list []string
	for _, value := range values {
		if text, ok := value.(string); ok {
			list = append(list, text)
		}
	}
	return list
}

// Read parses a log. What stands before the JSON object of a line, as a log
// collector writes it, is skipped, and so are lines without one.
func Read(r io.Reader) ([]Line, error) {
	var list []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if line, ok := parse(scanner.Bytes()); ok {
			list = append(list, line)
		}
	}
	return list, eris.Wrap(scanner.Err(), "read log")
}

func parse(data []byte) (Line, bool) {
	start := bytes.IndexByte(data, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := make(map[string]any)
	if json.Unmarshal(data[start:], &fields) != nil {
		return Line{}, false
	}
	line := Line{Fields: fields}
	line.Daemon, line.Message = line.text("daemon"), line.text("msg")
	at, err := time.Parse(time.RFC3339Nano, line.text("ts"))
	if err != nil || line.Message == "" {
		return Line{}, false
	}
	line.Time = at
	for _, name := range []string{"daemon", "msg", "ts", "logger"} {
		delete(fields, name)
	}
	return line, true
}
