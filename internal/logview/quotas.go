package logview

import (
	"cmp"
	"slices"
	"time"
)

// QuotaTolerance is how much a workspace may get above its quota within any window.
type QuotaTolerance struct {
	Window time.Duration
	// Overshoot is relative to what the quota allows within the window, and Allowance is
	// added to it, in units of the quota.
	Overshoot, Allowance float64
}

// QuotaUse is the window in which a workspace came nearest to its limit.
type QuotaUse struct {
	Workspace string `json:"workspace"`
	// LimitPerS is the largest quota per second that the lines name. The burst is taken to
	// be as large as the quota of one second.
	LimitPerS float64 `json:"limit_per_s"`
	// Granted was charged to requests that were sent to an endpoint, in units of the quota,
	// and Allowed is the limit with its tolerance.
	Granted float64 `json:"granted"`
	Allowed float64 `json:"allowed"`
	// From is the begin of the window, by the clocks of the entries.
	From time.Time `json:"from"`
	// BySource divides Granted by the part of the quota that covered the requests.
	BySource map[string]float64 `json:"by_source"`
	// Refused is the number of requests over the quota in all lines.
	Refused int `json:"refused"`
}

// Ratio returns the part of the allowed amount that was granted.
func (u *QuotaUse) Ratio() float64 { return u.Granted / u.Allowed }

// charge is what one request was charged.
type charge struct {
	at     time.Time
	cost   float64
	source string
}

// QuotaUses returns the worst window of each workspace with a quota, the nearest to its
// limit first. The clocks of the entries must not differ by much compared to the window.
func QuotaUses(lines []Line, tolerance QuotaTolerance) []QuotaUse {
	charges := make(map[string][]charge)
	uses := make(map[string]*QuotaUse)
	useOf := func(workspace string) *QuotaUse {
		if uses[workspace] == nil {
			uses[workspace] = &QuotaUse{Workspace: workspace, BySource: make(map[string]float64)}
		}
		return uses[workspace]
	}
	for i := range lines {
		l := &lines[i]
		workspace, cost := l.stringField("workspace"), l.numberField("quota_cost")
		if l.stringField("reason") == "over_quota" {
			useOf(workspace).Refused++
		}
		if cost <= 0 || len(l.stringListField("tried")) == 0 {
			continue
		}
		use := useOf(workspace)
		use.LimitPerS = max(use.LimitPerS, l.numberField("quota_per_s"))
		arrivedAt := l.Time.Add(-time.Duration(l.numberField("ms") * float64(time.Millisecond)))
		charges[workspace] = append(charges[workspace], charge{at: arrivedAt, cost: cost, source: l.stringField("quota_source")})
	}
	var list []QuotaUse
	for workspace, use := range uses {
		if use.LimitPerS <= 0 {
			continue
		}
		use.Allowed = use.LimitPerS*(tolerance.Window.Seconds()+1)*(1+tolerance.Overshoot) + tolerance.Allowance
		use.findWorst(charges[workspace], tolerance.Window)
		list = append(list, *use)
	}
	slices.SortFunc(list, func(a, b QuotaUse) int {
		return cmp.Or(cmp.Compare(b.Ratio(), a.Ratio()), cmp.Compare(a.Workspace, b.Workspace))
	})
	return list
}

// findWorst sets the window with the largest sum of charges.
func (u *QuotaUse) findWorst(charges []charge, window time.Duration) {
	slices.SortFunc(charges, func(a, b charge) int { return a.at.Compare(b.at) })
	sum, first := 0.0, 0
	worstFirst, worstLast := 0, -1
	for last := range charges {
		sum += charges[last].cost
		for charges[last].at.Sub(charges[first].at) > window {
			sum -= charges[first].cost
			first++
		}
		if sum > u.Granted {
			u.Granted, worstFirst, worstLast = sum, first, last
		}
	}
	for _, c := range charges[worstFirst : worstLast+1] {
		u.From = charges[worstFirst].at
		u.BySource[c.source] += c.cost
	}
}
