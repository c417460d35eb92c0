package daemon_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/standin/engine"
)

var _ = Describe("Requests under failures of endpoints", func() {
	// Guards against answers that are cut off, wrong or doubled in plain service.
	It("answers every request whole", func() {
		f := newFleet(2, 3)
		report := f.runLoad(f.Daemons()[0], 20, 50, time.Second, nil)
		Expect(report.Whole).To(Equal(report.Calls))
		Expect(report.Whole).To(BeNumerically(">", 50))
	})

	// Guards against answers lost with an endpoint that dies without notice.
	It("resumes on another endpoint after a crash", func() {
		f := newFleet(1, 3)
		report := f.runLoad(f.Daemons()[0], 12, 200, 2*time.Second, func() {
			time.Sleep(300 * time.Millisecond)
			f.Engines()[0].Crash()
		})
		Expect(report.Whole).To(Equal(report.Calls), "%+v", report)
	})

	// Guards against answers lost in an announced reclaim, also of two endpoints in a row.
	It("moves away from endpoints that are reclaimed", func() {
		f := newFleet(1, 3)
		report := f.runLoad(f.Daemons()[0], 12, 1000, 3*time.Second, func() {
			// The answers take a second: they cannot end within the notice.
			time.Sleep(300 * time.Millisecond)
			f.Engines()[0].ReclaimNotice(400 * time.Millisecond)
			time.Sleep(300 * time.Millisecond)
			f.Engines()[1].ReclaimNotice(400 * time.Millisecond)
		})
		Expect(report.Whole).To(Equal(report.Calls), "%+v", report)
		Expect(f.Daemons()[0].Metrics().Counter("attempts_resumed").Value()).To(BeNumerically(">", 0))
	})

	// Guards against streams that hang because connections went silent while new ones work.
	It("replaces connections that went silent", func() {
		f := newFleet(1, 2)
		report := f.runLoad(f.Daemons()[0], 8, 200, 2*time.Second, func() {
			time.Sleep(300 * time.Millisecond)
			f.Engines()[0].SilenceConnections()
		})
		Expect(report.Whole).To(Equal(report.Calls), "%+v", report)
		Expect(f.Daemons()[0].Metrics().Counter("streams_silent").Value()).To(BeNumerically(">", 0))
	})

	// Guards against tokens that are lost, doubled or taken from another answer
	// when an endpoint damages its frames.
	DescribeTable("gives right answers in spite of damaged frames",
		func(kind engine.FrameFaultKind) {
			f := newFleet(1, 2)
			f.Engines()[0].SetFrameFault(engine.FrameFault{Kind: kind, Every: 40})
			report := f.runLoad(f.Daemons()[0], 4, 100, time.Second, nil)
			Expect(report.Wrong).To(BeZero(), "%+v", report)
			Expect(report.Whole).To(Equal(report.Calls), "%+v", report)
		},
		Entry("repeated", engine.DuplicateFrames),
		Entry("of another attempt", engine.CrossFrames),
		Entry("missing", engine.SkipFrames),
		Entry("at wrong offsets", engine.WrongOffsets),
		Entry("unreadable", engine.GarbageFrames),
	)
})
