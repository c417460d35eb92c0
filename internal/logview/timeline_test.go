package logview

import (
	"errors"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const entryLog = `
12.1 entry-1 {"level":"info","ts":"2026-12-04T12:00:00.000Z","logger":"[entry]","msg":"Document in force.","daemon":"entry-1","generation":3,"version":3}
not a line of a daemon
{"level":"info","ts":"2026-12-04T12:00:01.000Z","msg":"Endpoint changed.","daemon":"entry-1","endpoint":"i-1","state":2,"seq":9,"replica":"r"}
{"level":"info","ts":"2026-12-04T12:00:01.000Z","msg":"Endpoint changed.","daemon":"entry-1","endpoint":"i-7","state":2,"seq":4,"replica":"r"}
{"level":"info","ts":"2026-12-04T12:00:01.200Z","msg":"Request sent again.","daemon":"entry-1","request":"a1","endpoint":"i-1","attempts":1}
{"level":"info","ts":"2026-12-04T12:00:01.200Z","msg":"Request answered.","daemon":"entry-1","request":"b2","status":200,"ms":4}
{"level":"warn","ts":"2026-12-04T12:00:01.900Z","msg":"Request refused.","daemon":"entry-1","request":"a1","status":502,"reason":"answer_lost","tried":["i-1","i-2"],"ms":900}
`

// The clock of this replica is 40 s ahead of the clock of the entry, and is set
// back by 40 s before the last line.
const replicaLog = `
{"level":"info","ts":"2026-12-04T12:00:39.998Z","msg":"Document stored.","daemon":"state-1","generation":3,"version":3}
{"level":"info","ts":"2026-12-04T12:00:40.990Z","msg":"Endpoint announced.","daemon":"state-1","endpoint":"i-1","state":2,"seq":9}
{"level":"info","ts":"2026-12-04T12:00:41.400Z","msg":"Leader of the state.","daemon":"state-1","leader":"","term":4}
{"level":"info","ts":"2026-12-04T12:00:01.400Z","msg":"Leader of the state.","daemon":"state-1","leader":"old","term":3}
`

func readLines(t *testing.T, logs ...string) []Line {
	var all []Line
	for _, log := range logs {
		lines, err := Read(strings.NewReader(log))
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		all = append(all, lines...)
	}
	return all
}

// Guards against lines in the wrong order, or context from another time, when the
// clocks of daemons differ.
func TestLinesAreOrderedDespiteClockOffsets(t *testing.T) {
	g := NewWithT(t)
	timeline, err := Find("a1", readLines(t, replicaLog, entryLog))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(timeline.Daemon).To(Equal("entry-1"))
	g.Expect(timeline.Offsets["state-1"]).To(BeNumerically("~", -40*time.Second, 20*time.Millisecond))
	var messages []string
	for _, line := range timeline.Lines {
		messages = append(messages, line.Daemon+" "+line.Message)
	}
	g.Expect(messages).To(Equal([]string{
		"state-1 Document stored.", "entry-1 Document in force.", "state-1 Endpoint announced.", "entry-1 Endpoint changed.",
		"entry-1 Request sent again.", "state-1 Leader of the state.", "entry-1 Request refused.",
	}))
	g.Expect(timeline.Lines[5].stringField("leader")).To(BeEmpty())
}

// Guards against an empty result for a request that is in no log.
func TestUnknownRequest(t *testing.T) {
	var missing *NotFoundError
	_, err := Find("c3", readLines(t, entryLog))
	NewWithT(t).Expect(errors.As(err, &missing)).To(BeTrue())
}
