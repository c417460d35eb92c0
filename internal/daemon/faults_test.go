package daemon_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/standin/engine"
)

var _ = Describe("Requests under failures of endpoints", func() {
	// Guards against answers that are truncated, wrong or repeated while nothing fails.
	It("answers every request completely", func() {
		f := newFleet(2, 3)
		report := f.runLoad(f.Daemons()[0], 20, 50, time.Second, nil)
		Expect(report.Complete).To(Equal(report.Calls))
		Expect(report.Complete).To(BeNumerically(">", 50))
	})

	// Guards against answers that are lost when an endpoint crashes without notice.
	It("resumes on another endpoint after a crash", func() {
		f := newFleet(1, 3)
		report := f.runLoad(f.Daemons()[0], 12, 200, 2*time.Second, func() {
			time.Sleep(300 * time.Millisecond)
			f.Engines()[0].Crash()
		})
		Expect(report.Complete).To(Equal(report.Calls), "%+v", report)
	})

	// Guards against answers that are lost when two endpoints in a row are
	// reclaimed with notice.
	It("moves away from endpoints that are reclaimed", func() {
		f := newFleet(1, 3)
		report := f.runLoad(f.Daemons()[0], 12, 1000, 3*time.Second, func() {
			// The answers take 1 s, which is longer than the notice of 400 ms.
			time.Sleep(300 * time.Millisecond)
			f.Engines()[0].ReclaimNotice(400 * time.Millisecond)
			time.Sleep(300 * time.Millisecond)
			f.Engines()[1].ReclaimNotice(400 * time.Millisecond)
		})
		Expect(report.Complete).To(Equal(report.Calls), "%+v", report)
		Expect(f.Daemons()[0].Metrics().Counter("attempts_resumed").Value()).To(BeNumerically(">", 0))
	})

	// Guards against streams that hang on open connections that deliver nothing
	// more, while new connections to the same endpoint work.
	It("replaces connections that went silent", func() {
		f := newFleet(1, 2)
		report := f.runLoad(f.Daemons()[0], 8, 200, 2*time.Second, func() {
			time.Sleep(300 * time.Millisecond)
			f.Engines()[0].SilenceConnections()
		})
		Expect(report.Complete).To(Equal(report.Calls), "%+v", report)
		Expect(f.Daemons()[0].Metrics().Counter("streams_silent").Value()).To(BeNumerically(">", 0))
	})

	// Guards against tokens that are lost, repeated or taken from another answer
	// when an endpoint sends faulty frames.
	DescribeTable("returns correct answers despite faulty frames",
		func(kind engine.FrameFaultKind) {
			f := newFleet(1, 2)
			f.Engines()[0].SetFrameFault(engine.FrameFault{Kind: kind, Every: 40})
			report := f.runLoad(f.Daemons()[0], 4, 100, time.Second, nil)
			Expect(report.Wrong).To(BeZero(), "%+v", report)
			Expect(report.Complete).To(Equal(report.Calls), "%+v", report)
		},
		Entry("repeated", engine.DuplicateFrames),
		Entry("of another attempt", engine.CrossFrames),
		Entry("missing", engine.SkipFrames),
		Entry("at wrong offsets", engine.WrongOffsets),
		Entry("unreadable", engine.GarbageFrames),
	)
})
