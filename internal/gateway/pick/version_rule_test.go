package pick

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/gateway/registry"
)

// Guards against a request that a roll-out restricts to one version and that reaches another
// one, and against exposed requests that are spread over all endpoints of the new version.
func TestVersionRuleSelectsEndpoints(t *testing.T) {
	g := NewWithT(t)
	board := NewBoard(rand.New(rand.NewPCG(1, 2)).Float64)
	var list []registry.Endpoint
	for i := range 40 {
		list = append(list, registry.Endpoint{
			ID: fmt.Sprint("i-", i), Service: "app", Address: fmt.Sprint("127.0.0.1:", i+1), State: registry.Ready, Born: 1,
			SoftwareVersion: []string{"", "v1", "v2", "v2"}[i%4],
		})
	}
	board.Update(list)
	used := func(rule *VersionRule) map[string]string {
		versions := map[string]string{}
		for range 200 {
			choice, err := board.Choose(&Request{Service: "app", Rule: rule, Now: time.Now()})
			g.Expect(err).NotTo(HaveOccurred())
			defer choice.End()
			versions[choice.Endpoint.ID] = choice.Endpoint.SoftwareVersion
		}
		return versions
	}
	g.Expect(used(&VersionRule{To: "v2"})).To(And(HaveLen(20), Not(ContainElement("v2"))))
	g.Expect(used(&VersionRule{To: "v2", New: true})).To(And(HaveLen(20), HaveEach("v2")))
	turns := map[string]string{}
	for turn := range uint64(50) {
		focused := used(&VersionRule{To: "v2", New: true, Focus: 3, Turn: turn})
		g.Expect(focused).To(And(HaveLen(3), HaveEach("v2")))
		for id, version := range focused {
			turns[id] = version
		}
	}
	g.Expect(turns).To(HaveLen(20))
	_, err := board.Choose(&Request{Service: "app", Rule: &VersionRule{To: "v3", New: true, Focus: 1}, Now: time.Now()})
	g.Expect(err).To(MatchError(&NoEndpointError{Service: "app", Known: 40, DroppedBy: "rollout"}))
	others, same := board.CountVersions("app", "v2")
	g.Expect([]int{others, same}).To(Equal([]int{20, 20}))
}
