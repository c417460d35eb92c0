package jsoncheck_test

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/jsoncheck"
)

type shape struct {
	Name  string   `json:"name"`
	Count int      `json:"count"`
	Share float64  `json:"share"`
	List  []nested `json:"list,omitempty"`
	Inner *nested  `json:"inner,omitempty"`
}

type nested struct {
	On bool `json:"on"`
}

// Guards against mistakes that are reported without their path, or only one at a time.
func TestCheckReportsEveryMistake(t *testing.T) {
	g := NewWithT(t)
	text := `{"name":1,"count":1.5,"share":"x","list":[{"on":true},{"on":null,"off":1}],"inner":null,"name":"y","a b":{}}`
	var paths []string
	for _, problem := range jsoncheck.Check([]byte(text), reflect.TypeFor[shape]()) {
		paths = append(paths, problem.Path)
	}
	g.Expect(paths).To(Equal([]string{
		"$.name", "$.count", "$.share", "$.list[1].on", "$.list[1].off", "$.name", `$["a b"]`,
	}))
}

// Guards against a second document that is silently ignored, and against deep input that exhausts the stack.
func TestCheckRefusesMalformedText(t *testing.T) {
	g := NewWithT(t)
	for _, text := range []string{"", "{", "{}{}", `{"a":}`, "[1,]", strings.Repeat("[", 100000)} {
		g.Expect(jsoncheck.Check([]byte(text), nil)).NotTo(BeEmpty(), text[:min(len(text), 10)])
	}
}

// FuzzCheck guards against panics, and against a shape that passes here but that encoding/json refuses.
func FuzzCheck(f *testing.F) {
	f.Add(`{"name":"x","count":1,"share":0.5,"list":[{"on":true}],"inner":{"on":false}}`)
	f.Add(`{"inner":null,"share":1e400}`)
	f.Fuzz(func(t *testing.T, text string) {
		if len(jsoncheck.Check([]byte(text), reflect.TypeFor[shape]())) > 0 {
			return
		}
		var decoded shape
		if err := json.Unmarshal([]byte(text), &decoded); err != nil {
			t.Fatalf("%q passed the check: %v", text, err)
		}
	})
}
