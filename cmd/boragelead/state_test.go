package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/replica/inspect"
	"github.com/boragelead/boragelead/internal/rig"
)

var _ = Describe("Commands on a data folder", Ordered, func() {
	var folder, folders string
	var out, errs bytes.Buffer
	run := func(args ...string) int {
		out.Reset()
		errs.Reset()
		return newApp(&out, &errs).run(context.Background(), append([]string{"state"}, args...))
	}
	BeforeAll(func() {
		document, err := os.ReadFile(example)
		Expect(err).NotTo(HaveOccurred())
		folders = GinkgoT().TempDir()
		r, err := rig.Start(rig.Config{Document: document, Domains: 1, Folder: folders})
		Expect(err).NotTo(HaveOccurred())
		folder = filepath.Join(folders, "entry-1")
		// Guards against reading a folder that a running daemon writes to.
		Expect(run("verify", folder)).To(Equal(exitFailure))
		Expect(errs.String()).To(ContainSubstring("is used by another process"))
		r.Close()
	})

	It("verify, dump and back up", func() {
		Expect(run("verify", folder)).To(Equal(exitOK), errs.String())
		Expect(out.String()).To(ContainSubstring("is intact"))
		Expect(run("verify", "--json", folder)).To(Equal(exitOK), errs.String())
		var report inspect.Report
		Expect(json.Unmarshal(out.Bytes(), &report)).To(Succeed())
		Expect(report.Config.Voters).To(HaveLen(1))
		Expect(run("dump", folder)).To(Equal(exitOK), errs.String())
		Expect(out.String()).To(ContainSubstring(`"generations"`))
		// Guards against a dump that omits acknowledged changes without saying so.
		if report.Last > report.Commit {
			Expect(errs.String()).To(ContainSubstring(fmt.Sprintf("left out: entries %d to %d", report.Commit+1, report.Last)))
		}
		backup := filepath.Join(folders, "backup")
		Expect(run("snapshot", folder, backup)).To(Equal(exitOK), errs.String())
		// Guards against a backup that overwrites an older one.
		Expect(run("snapshot", folder, backup)).To(Equal(exitUsage))
	})

	// Guards against a mistyped path that is created and looks like an empty replica.
	It("refuse a folder that is missing", func() {
		missing := filepath.Join(folders, "missing")
		Expect(run("verify", missing)).To(Equal(exitUsage))
		Expect(missing).NotTo(BeADirectory())
	})

	// Guards against a restore that the operator did not confirm for this folder, and
	// against one that loses the state or overwrites a replica.
	It("restore only with the confirmation of the folder", func() {
		target := filepath.Join(folders, "restored")
		restore := []string{"restore-from-majority-loss", "--address", "127.0.0.1:8082", folder, target}
		Expect(run(restore...)).To(Equal(exitFailure))
		Expect(target).NotTo(BeADirectory())
		value := regexp.MustCompile(`lose-majority-of-[0-9a-f]+`).FindString(errs.String())
		Expect(run(append(restore, "--confirm", "lose-majority-of-0")...)).To(Equal(exitFailure))
		Expect(run(append(restore, "--confirm", value)...)).To(Equal(exitOK), errs.String())
		Expect(out.String()).To(ContainSubstring("at 127.0.0.1:8082"))
		Expect(run("dump", target)).To(Equal(exitOK), errs.String())
		Expect(out.String()).To(ContainSubstring(`"rig"`))
		Expect(run(append(restore, "--confirm", value)...)).To(Equal(exitFailure))
	})
})
