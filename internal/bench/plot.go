package bench

import (
	"bytes"
	"fmt"
)

// Dimensions of a plot in pixels.
const (
	plotWidth      = 640
	plotLabelWidth = 200
	plotBarHeight  = 16
	plotBarGap     = 6
	plotMargin     = 34
)

// policyColors are the bar colors of the policies, in the order of the results.
var policyColors = []string{"#b0b0b0", "#2b6cb0"}

// Plot draws an SVG bar chart with one bar per rank and policy: the share of
// calls that met both latency targets.
func Plot(results []*Result) []byte {
	var bars bytes.Buffer
	y := plotMargin
	for i := range results[0].Ranks {
		for policyIndex, r := range results {
			if i >= len(r.Ranks) {
				continue
			}
			rank := r.Ranks[i]
			width := rank.Both * (plotWidth - plotLabelWidth - 60)
			_, _ = fmt.Fprintf(&bars, `<text x="4" y="%d">%s, %s</text><rect x="%d" y="%d" width="%.1f" height="%d" fill="%s"/><text x="%.1f" y="%d">%.1f%%</text>`+"\n",
				y+plotBarHeight-4, rank.Rank, r.Policy, plotLabelWidth, y, width, plotBarHeight, policyColors[policyIndex%len(policyColors)], plotLabelWidth+4+width, y+plotBarHeight-4, rank.Both*percent)
			y += plotBarHeight + plotBarGap
		}
		y += plotBarGap
	}
	var out bytes.Buffer
	_, _ = fmt.Fprintf(&out, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n", plotWidth, y)
	_, _ = fmt.Fprintf(&out, `<text x="4" y="18">%s, %s, seed %d: share of calls within both targets</text>`+"\n", results[0].Scenario, results[0].Environment, results[0].Seed)
	out.Write(bars.Bytes())
	out.WriteString("</svg>\n")
	return out.Bytes()
}
