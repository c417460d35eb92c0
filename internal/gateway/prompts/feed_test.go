package prompts_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/gateway/prompts"
)

// Guards against prompts that an entry learns twice, never, of itself, or long after they were
// processed.
func TestFeed(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	f := prompts.NewFeed()
	_, position, changed := f.Since("b", 0, now)
	f.Add("a", []prompts.Prompt{{Endpoint: "i-1", Tokens: 9000}}, now)
	g.Expect(changed).To(BeClosed())
	f.Add("b", []prompts.Prompt{{Endpoint: "i-2", Tokens: 8000}}, now)
	list, next, _ := f.Since("b", position, now.Add(30*time.Millisecond))
	g.Expect(list).To(Equal([]prompts.Prompt{{Endpoint: "i-1", Tokens: 9000, AgeMS: 30}}))
	list, _, _ = f.Since("b", next, now)
	g.Expect(list).To(BeEmpty())
	list, _, _ = f.Since("b", next+10, now)
	g.Expect(list).To(BeEmpty(), "a position of another run")
	list, _, _ = f.Since("c", 0, now.Add(2*prompts.MaxAge))
	g.Expect(list).To(BeEmpty())
}

// Guards against a reader far behind that gets stale prompts or more than a message holds.
func TestFeedIsBounded(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	f := prompts.NewFeed()
	for range 2000 {
		f.Add("a", make([]prompts.Prompt, 2*prompts.MaxItems), now)
	}
	seen, position := 0, uint64(0)
	for {
		list, next, _ := f.Since("b", position, now)
		if len(list) == 0 {
			break
		}
		g.Expect(len(list)).To(BeNumerically("<=", prompts.MaxItems))
		seen, position = seen+len(list), next
	}
	g.Expect(seen).To(BeNumerically("<=", 1024))
}
