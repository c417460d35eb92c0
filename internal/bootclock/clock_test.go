package bootclock

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a clock that stands still or counts in other units.
func TestClockAdvances(t *testing.T) {
	g := NewWithT(t)
	before := Now()
	time.Sleep(20 * time.Millisecond)
	g.Expect(Now().Sub(before)).To(BeNumerically("~", 20*time.Millisecond, 200*time.Millisecond))
	g.Expect(Now().Sub(before)).To(BeNumerically(">=", 20*time.Millisecond))
	g.Expect(before.Add(time.Second).Sub(before)).To(Equal(time.Second))
}
