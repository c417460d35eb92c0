package rules

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func validDocument() *Document {
	return &Document{
		Version:  3,
		Services: []Service{{Name: "pool"}, {Name: "app"}},
		Routes: []Route{
			{Name: "all", Host: "a.example", Prefix: "/", Kind: Idempotent, Timeout: time.Second, Split: []Share{{"app", 1}}},
			{Name: "draft", Host: "a.example", Prefix: "/draft/", Kind: Streaming, Timeout: time.Second, Split: []Share{{"pool", 90}, {"app", 10}}},
		},
		Workspaces: []Workspace{{Name: "w", Keys: []string{"k1", "k2"}}},
	}
}

// Guards against accepting a document that cannot be applied.
func TestInvalidDocuments(t *testing.T) {
	changes := map[string]func(*Document){
		"routes[0].split":     func(d *Document) { d.Routes[0].Split[0].Service = "nobody" },
		"routes[1]":           func(d *Document) { d.Routes[1].Prefix = "/" },
		"routes[1].split":     func(d *Document) { d.Routes[1].Split = []Share{{"pool", 0}, {"app", 0}} },
		"routes[0].timeout":   func(d *Document) { d.Routes[0].Timeout = 0 },
		"routes[0].prefix":    func(d *Document) { d.Routes[0].Prefix = "/x" },
		"routes[0].kind":      func(d *Document) { d.Routes[0].Kind = "odd" },
		"workspaces[1].keys":  func(d *Document) { d.Workspaces = append(d.Workspaces, Workspace{Name: "v", Keys: []string{"k2"}}) },
		"services[2].name":    func(d *Document) { d.Services = append(d.Services, Service{Name: "app"}) },
		"workspaces[1].name":  func(d *Document) { d.Workspaces = append(d.Workspaces, Workspace{Name: "w"}) },
		"routes[0].host":      func(d *Document) { d.Routes[0].Host = "" },
		"routes[1].split ":    func(d *Document) { d.Routes[1].Split[0].Weight = -1 },
		"routes[0].split    ": func(d *Document) { d.Routes[0].Split = nil },
	}
	for path, change := range changes {
		t.Run(path, func(t *testing.T) {
			g := NewWithT(t)
			d := validDocument()
			change(d)
			var invalid *InvalidError
			g.Expect(d.Validate()).To(BeAssignableToTypeOf(invalid))
		})
	}
	NewWithT(t).Expect(validDocument().Validate()).To(Succeed())
}

// Guards against matching a request to a shorter prefix or to the route of another
// host.
func TestLongestPrefixOfTheHostWins(t *testing.T) {
	g := NewWithT(t)
	table := NewTable(validDocument())
	g.Expect(table.Match("a.example", "/draft/1").Name).To(Equal("draft"))
	g.Expect(table.Match("A.example:80", "/draft").Name).To(Equal("all"))
	g.Expect(table.Match("b.example", "/draft/1")).To(BeNil())
	g.Expect(table.WorkspaceOf("k2").Name).To(Equal("w"))
	g.Expect(table.WorkspaceOf("k3")).To(BeNil())
}

// Guards against a split that sends requests to a service with weight 0, or sends
// all requests to one service.
func TestSplitFollowsWeights(t *testing.T) {
	g := NewWithT(t)
	r := &Route{Split: []Share{{"a", 0}, {"b", 90}, {"c", 10}}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[r.Pick(float64(i)/1000)]++
	}
	g.Expect(counts).To(Equal(map[string]int{"b": 900, "c": 100}))
}
