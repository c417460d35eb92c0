package bench

import (
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/boragelead/boragelead/internal/load"
)

// percent is the factor from a share to a percentage.
const percent = 100

// WriteNotes prints an explanation of the figures.
func WriteNotes(w io.Writer) {
	_, _ = fmt.Fprintf(w, `Engines take %g of the times of their classes. The first-token, per-token and waiting limits of the ranks are scaled by the same factor.
cost/1k: sum of the VMs' prices per hour x simulated hours of the run (real time / %g) / tokens of answers within target x 1000.
Within target: the complete answer arrived, and its first token and its mean time between tokens met the rank's targets. Refused and broken calls are not within target.
"accepted" is the share within both targets with the refused calls left out.

`, TimeScale, TimeScale)
}

// WriteResult prints the result of one run.
func WriteResult(w io.Writer, r *Result) {
	printLine := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	printLine("%s / %s / %s, seed %d, %.0f s, capacity %.0f tokens/s", r.Scenario, r.Environment, r.Policy, r.Seed, r.Seconds, r.CapacityTokensPerSecond)
	printLine("  cost/1k within target %.5f (fleet %.3f per hour, %d tokens within target)", r.CostPerKilotoken, r.CostPerHour, r.TokensWithinTargets)
	printLine("  tokens generated %d, recomputed %d; engines lost %d, faults %d", r.TokensGenerated, r.TokensRecomputed, r.EnginesLost, len(r.Faults))
	printLine("  %-12s %7s %22s %22s %7s %9s", "rank", "calls", "first token", "between tokens", "both", "accepted")
	for _, share := range r.Ranks {
		printLine("  %-12s %7d %10.1f%% <= %5.0f ms %10.1f%% <= %5.0f ms %6.1f%% %8.1f%%", share.Rank, share.Calls,
			share.First*percent, share.FirstTarget, share.Gap*percent, share.GapTarget, share.Both*percent, share.Accepted*percent)
	}
	printLine("  %-10s %6s %6s %6s %6s %7s %9s %9s %9s %9s", "stream", "calls", "whole", "wrong", "broken", "refused", "first p50", "first p95", "total p95", "in target")
	for _, s := range r.Streams {
		printLine("  %-10s %6d %6d %6d %6d %7d %9.0f %9.0f %9.0f %8.1f%%", s.Name, s.Calls, s.Complete, s.Wrong, s.Broken, countRefused(s),
			s.FirstMS.P50, s.FirstMS.P95, s.TotalMS.P95, percent*ratio(s.Within, s.Calls))
	}
	for _, f := range r.Floors {
		printLine("  floor of %-12s %6.0f tokens/s, offered %6.0f, received %6.0f, kept %.1f%%", f.Rank, f.Floor, f.Offered, f.Received, f.Kept*percent)
	}
	if r.SmallWithoutLargeP95MS > 0 {
		printLine("  small caller's p95 of the total answer time %.0f ms, without large callers %.0f ms: %.2f times",
			r.Streams[0].TotalMS.P95, r.SmallWithoutLargeP95MS, r.Streams[0].TotalMS.P95/r.SmallWithoutLargeP95MS)
	}
	if b := r.Publications; b != nil {
		printLine("  publications %d in %d sends: done %d, not run %d, unknown %d; doubled %d, false not_run %d, missing %d",
			b.Calls, b.Sends, b.Done, b.Refused, b.Unknown, b.RanTwice, b.FalseNotRun, b.Missing)
	}
	for _, s := range r.Streams {
		if summary := failureSummary(s); summary != "" {
			printLine("  %s: %s", s.Name, summary)
		}
	}
	printLine("")
}

func countRefused(s load.Report) int {
	total := 0
	for _, count := range s.Refused {
		total += count
	}
	return total
}

// failureSummary returns the refusals by kind and the first error of a stream.
func failureSummary(s load.Report) string {
	var parts []string
	for kind, count := range s.Refused {
		parts = append(parts, fmt.Sprintf("%s x%d", kind, count))
	}
	sort.Strings(parts)
	if len(s.Errors) > 0 {
		parts = append(parts, s.Errors[0])
	}
	return strings.Join(parts, ", ")
}

func ratio(part, total int) float64 {
	if total == 0 {
		return 0
	}
	return float64(part) / float64(total)
}

// WriteComparison prints the measurements of both policies side by side.
func WriteComparison(w io.Writer, naive, current *Result) {
	printLine := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	printLine("%s / %s, seed %d", current.Scenario, current.Environment, current.Seed)
	printLine("  %-38s %10s %10s %10s", "measure", "naive", "current", "of naive")
	writeMeasure := func(name string, a, b float64) {
		share := "-"
		if a != 0 {
			share = fmt.Sprintf("%.1f%%", percent*b/a)
		}
		printLine("  %-38s %10.5g %10.5g %10s", name, a, b, share)
	}
	writeMeasure("cost per 1000 tokens within target", naive.CostPerKilotoken, current.CostPerKilotoken)
	writeMeasure("tokens recomputed", float64(naive.TokensRecomputed), float64(current.TokensRecomputed))
	for i := range min(len(naive.Ranks), len(current.Ranks)) {
		a, b := naive.Ranks[i], current.Ranks[i]
		writeMeasure(a.Rank+" first token within target, %", a.First*percent, b.First*percent)
		writeMeasure(a.Rank+" between tokens within target, %", a.Gap*percent, b.Gap*percent)
		writeMeasure(a.Rank+" both, %", a.Both*percent, b.Both*percent)
		writeMeasure(a.Rank+" both, of accepted calls, %", a.Accepted*percent, b.Accepted*percent)
	}
	for i := range min(len(naive.Floors), len(current.Floors)) {
		writeMeasure(naive.Floors[i].Rank+" kept of floor, %", naive.Floors[i].Kept*percent, current.Floors[i].Kept*percent)
	}
	if current.SmallWithoutLargeP95MS > 0 && naive.SmallWithoutLargeP95MS > 0 {
		writeMeasure("small p95 with / without large callers", naive.Streams[0].TotalMS.P95/naive.SmallWithoutLargeP95MS, current.Streams[0].TotalMS.P95/current.SmallWithoutLargeP95MS)
	}
	printLine("")
}
