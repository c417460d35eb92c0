package logview

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a limit that is nearly exceeded, or is, without anybody seeing it in the logs.
func TestWorstWindowOfAQuota(t *testing.T) {
	g := NewWithT(t)
	answered := func(second float64, workspace string, cost int, source, tried string) string {
		at := time.Unix(1000, 0).UTC().Add(time.Duration(second * float64(time.Second)))
		return fmt.Sprintf(`{"ts":%q,"msg":"Request answered.","daemon":"entry-1","workspace":%q,"tried":[%s],"ms":500,"quota_cost":%d,"quota_source":%q,"quota_per_s":100}`,
			at.Format("2006-01-02T15:04:05.000Z07:00"), workspace, tried, cost, source)
	}
	lines, err := Read(strings.NewReader(strings.Join([]string{
		answered(0, "a", 300, "common", `"e"`),
		answered(7, "a", 400, "share", `"e"`),
		answered(9, "a", 500, "common", `"e"`),
		answered(9.5, "a", 9000, "common", ``),
		answered(20, "a", 600, "share", `"e"`),
		answered(3, "b", 100, "share", `"e"`),
		`{"ts":"2026-01-01T00:00:00.000Z","msg":"Request refused.","daemon":"entry-1","workspace":"b","reason":"over_quota"}`,
		`{"ts":"2026-01-01T00:00:00.000Z","msg":"Request refused.","daemon":"entry-1","workspace":"","reason":"no_route"}`,
	}, "\n")))
	g.Expect(err).NotTo(HaveOccurred())
	uses := QuotaUses(lines, QuotaTolerance{Window: 8 * time.Second, Overshoot: 0.1, Allowance: 10})
	g.Expect(uses).To(HaveLen(2))
	g.Expect(uses[0].Workspace).To(Equal("a"))
	g.Expect(uses[0].Granted).To(Equal(900.0), "a request that was not sent does not count")
	g.Expect(uses[0].Allowed).To(BeNumerically("~", 1000, 0.001))
	g.Expect(uses[0].From).To(BeTemporally("==", time.Unix(1006, 500_000_000)))
	g.Expect(uses[0].BySource).To(Equal(map[string]float64{"share": 400, "common": 500}))
	g.Expect(uses[1].Workspace).To(Equal("b"))
	g.Expect(uses[1].Refused).To(Equal(1))
}
