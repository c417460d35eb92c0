package load

import (
	"fmt"
	"io"
	"sort"
	"strings"
)

// WriteTable prints reports as a table with one line per stream, followed by
// the refusals and errors of each stream.
func WriteTable(w io.Writer, reports []Report) {
	fmt.Fprintf(w, "%-16s %8s %8s %6s %7s %8s %10s  %-26s %-26s\n",
		"stream", "calls", "whole", "wrong", "broken", "refused", "tokens/s", "first token ms 50/95/99", "between tokens ms 50/95/99")
	for _, r := range reports {
		fmt.Fprintf(w, "%-16s %8d %8d %6d %7d %8d %10.0f  %7.2f %8.2f %8.2f  %7.2f %8.2f %8.2f\n",
			r.Name, r.Calls, r.Complete, r.Wrong, r.Broken, countRefused(r), r.TokensPerSecond,
			r.FirstMS.P50, r.FirstMS.P95, r.FirstMS.P99, r.GapMS.P50, r.GapMS.P95, r.GapMS.P99)
	}
	for _, r := range reports {
		writeDetails(w, r)
	}
}

func countRefused(r Report) int {
	total := 0
	for _, count := range r.Refused {
		total += count
	}
	return total
}

func writeDetails(w io.Writer, r Report) {
	kinds := make([]string, 0, len(r.Refused))
	for kind, count := range r.Refused {
		kinds = append(kinds, fmt.Sprintf("%s ×%d", kind, count))
	}
	sort.Strings(kinds)
	if len(kinds) > 0 {
		fmt.Fprintf(w, "%s refusals: %s\n", r.Name, strings.Join(kinds, ", "))
	}
	for _, text := range r.Errors {
		fmt.Fprintf(w, "%s error: %s\n", r.Name, text)
	}
}
