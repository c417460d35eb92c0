package jsoncheck_test

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/jsoncheck"
)

type testDocument struct {
	Name  string        `json:"name"`
	Count int           `json:"count"`
	Share float64       `json:"share"`
	List  []testElement `json:"list,omitempty"`
	Inner *testElement  `json:"inner,omitempty"`
}

type testElement struct {
	On bool `json:"on"`
}

// Guards against mistakes that are reported without their path, and against a
// check that reports only the first mistake.
func TestCheckReportsEveryMistake(t *testing.T) {
	g := NewWithT(t)
	text := `{"name":1,"count":1.5,"share":"x","list":[{"on":true},{"on":null,"off":1}],"inner":null,"name":"y","a b":{}}`
	var paths []string
	for _, problem := range jsoncheck.Check([]byte(text), reflect.TypeFor[testDocument]()) {
		paths = append(paths, problem.Path)
	}
	g.Expect(paths).To(Equal([]string{
		"$.name", "$.count", "$.share", "$.list[1].on", "$.list[1].off", "$.name", `$["a b"]`,
	}))
}

// Guards against a second document that is silently ignored, and against deeply
// nested input that exhausts the stack.
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
		if len(jsoncheck.Check([]byte(text), reflect.TypeFor[testDocument]())) > 0 {
			return
		}
		var decoded testDocument
		if err := json.Unmarshal([]byte(text), &decoded); err != nil {
			t.Fatalf("%q passed the check: %v", text, err)
		}
	})
}
