package failover_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/gateway/failover"
)

// Guards against work that is sent again while a whole service is silent, and against work that
// stays at an endpoint that is silent or lost alone.
func TestDecisionOnASilence(t *testing.T) {
	const timeout = time.Second
	for name, c := range map[string]struct {
		silence failover.Silence
		want    failover.Decision
	}{
		"still patient":               {failover.Silence{Waited: timeout - 1, Silent: 1, Busy: 9}, failover.Wait},
		"one of many":                 {failover.Silence{Waited: timeout, Silent: 1, Busy: 9}, failover.Replace},
		"the only one with work":      {failover.Silence{Waited: timeout, Silent: 1, Busy: 1}, failover.Replace},
		"a failure domain of four":    {failover.Silence{Waited: timeout, Silent: 3, Busy: 12}, failover.Replace},
		"half":                        {failover.Silence{Waited: timeout, Silent: 6, Busy: 12}, failover.Replace},
		"most":                        {failover.Silence{Waited: timeout, Silent: 7, Busy: 12}, failover.WaitAndProbe},
		"all, endpoint accepts":       {failover.Silence{Waited: timeout, Silent: 12, Busy: 12, Probe: failover.Accepted}, failover.Wait},
		"all, endpoint down":          {failover.Silence{Waited: timeout, Silent: 12, Busy: 12, Probe: failover.Failed}, failover.Replace},
		"all, links lost":             {failover.Silence{Waited: timeout, Silent: 12, Busy: 12, LinksLost: true}, failover.Replace},
		"all, for very long":          {failover.Silence{Waited: 3 * timeout, Silent: 12, Busy: 12, Probe: failover.Accepted}, failover.Replace},
		"all, just before that":       {failover.Silence{Waited: 3*timeout - 1, Silent: 12, Busy: 12, Probe: failover.Accepted}, failover.Wait},
		"links lost, still patient":   {failover.Silence{Waited: timeout - 1, LinksLost: true}, failover.Wait},
		"endpoint down, patient":      {failover.Silence{Waited: timeout - 1, Probe: failover.Failed}, failover.Wait},
		"both of two, endpoint alive": {failover.Silence{Waited: timeout, Silent: 2, Busy: 2, Probe: failover.Accepted}, failover.Wait},
	} {
		t.Run(name, func(t *testing.T) {
			c.silence.Timeout = timeout
			NewWithT(t).Expect(failover.Decide(c.silence)).To(Equal(c.want))
		})
	}
}

// Guards against an attempt that is given up for an endpoint which is silent as well, and against
// a single straggler that must wait for more evidence than before.
func TestEvidenceFollowsTheSilenceOfOthers(t *testing.T) {
	for name, c := range map[string]struct {
		silence failover.Silence
		want    failover.Evidence
	}{
		"straggler":        {failover.Silence{Silent: 1, Busy: 13}, failover.NotSilent},
		"some":             {failover.Silence{Silent: 5, Busy: 13}, failover.HeardPreferred},
		"most":             {failover.Silence{Silent: 7, Busy: 13}, failover.HeardOnly},
		"endpoint is lost": {failover.Silence{Silent: 7, Busy: 13, Probe: failover.Failed}, failover.NoneNeeded},
	} {
		t.Run(name, func(t *testing.T) { NewWithT(t).Expect(c.silence.Evidence()).To(Equal(c.want)) })
	}
}
