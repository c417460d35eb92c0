package main

import (
	"bytes"
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Measurement commands", func() {
	DescribeTable("rejects invalid flags before a run starts", func(args ...string) {
		var out, notes bytes.Buffer
		Expect(newApp(&out, &notes).run(context.Background(), args)).To(Equal(exitUsage))
		Expect(notes.String()).To(ContainSubstring("--"))
		Expect(out.String()).To(BeEmpty())
	},
		Entry("policy", "measure", "--policy", "best"),
		Entry("scenario", "measure", "--scenario", "stedy"),
		Entry("no key", "load", "--model", "m"),
		Entry("no load", "load", "--key", "k", "--model", "m", "--concurrency", "0"),
		Entry("empty answers", "load", "--key", "k", "--model", "m", "--max-tokens", "0"),
	)
})
