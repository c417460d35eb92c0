package bootclock

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a clock that does not advance or that counts in the wrong unit.
func TestClockAdvances(t *testing.T) {
	g := NewWithT(t)
	before := Now()
	time.Sleep(20 * time.Millisecond)
	g.Expect(Now().Sub(before)).To(BeNumerically("~", 20*time.Millisecond, 200*time.Millisecond))
	g.Expect(Now().Sub(before)).To(BeNumerically(">=", 20*time.Millisecond))
	g.Expect(before.Add(time.Second).Sub(before)).To(Equal(time.Second))
}
