package conf_test

import (
	"encoding/json"
	"errors"
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/jsoncheck"
)

var examples = []string{"../../../examples/portfolio.json", "../../../examples/calendar.json"}

func exampleText() string {
	data, err := os.ReadFile(examples[0])
	Expect(err).NotTo(HaveOccurred())
	return string(data)
}

// problemPaths parses the example after replacing texts, given as pairs of old
// and new, and returns the paths of the problems found.
func problemPaths(replacements ...string) []string {
	text := exampleText()
	for i := 0; i < len(replacements); i += 2 {
		Expect(text).To(ContainSubstring(replacements[i]))
		text = strings.Replace(text, replacements[i], replacements[i+1], 1)
	}
	_, err := conf.Parse([]byte(text))
	var invalid *conf.ValidationError
	if !errors.As(err, &invalid) {
		Expect(err).NotTo(HaveOccurred())
		return nil
	}
	var paths []string
	for _, p := range invalid.Problems {
		paths = append(paths, p.Path)
	}
	return paths
}

const firstKeyHash = "315612643023b68317bd4fbbfab35b21e662ce4be49d459a4b03465769851f75"

var _ = Describe("Parse", func() {
	// Guards against a validation that refuses the documents in use.
	It("accepts the examples", func() {
		for _, path := range examples {
			data, err := os.ReadFile(path)
			Expect(err).NotTo(HaveOccurred())
			_, err = conf.Parse(data)
			Expect(err).NotTo(HaveOccurred(), path)
		}
	})

	// Guards against a mistake that is accepted or is reported with a wrong path.
	DescribeTable("reports a mistake at its path",
		func(path string, replacements ...string) {
			Expect(problemPaths(replacements...)).To(Equal([]string{path}))
		},
		Entry("unknown field", "$.ranks[0].flor", `"floor": 0.25`, `"floor": 0.25, "flor": 1`),
		Entry("wrong case", "$.ranks[0].Floor", `"floor": 0.25`, `"floor": 0.25, "Floor": 1`),
		Entry("wrong type", "$.ranks[0].floor", `"floor": 0.25`, `"floor": "0.25"`),
		Entry("integer written as decimal", "$.ranks[0].per_token_ms", `"per_token_ms": 40`, `"per_token_ms": 40.0`),
		Entry("null", "$.ranks[0].floor", `"floor": 0.25`, `"floor": null`),
		Entry("missing field", "$.environment", `"environment": "production",`, ``),
		Entry("duplicate key", "$.environment", `"environment": "production",`, `"environment": "a", "environment": "b",`),
		Entry("syntax", "$", `"environment": "production",`, `"environment": `),
		Entry("per_token_ms of 0", "$.ranks[0].per_token_ms", `"per_token_ms": 40`, `"per_token_ms": 0`),
		Entry("floors above 1", "$.ranks", `"floor": 0.25`, `"floor": 0.75`),
		Entry("order of ranks", "$.ranks[1].first_token_ms", `"first_token_ms": 1800`, `"first_token_ms": 800`),
		Entry("duplicate model", "$.models[1].name", `"name": "caption-3b"`, `"name": "atelier-8b"`),
		Entry("rank listed twice", "$.workspaces[0].ranks[2]", `"batch"
      ],`, `"interactive"
      ],`),
		Entry("unknown default rank", "$.workspaces[0].default_rank", `"default_rank": "interactive"`, `"default_rank": "fast"`),
		Entry("key rank not allowed", "$.workspaces[3].keys[0].default_rank", `7140826633a7ab9d9093e4a2c439e52c9d8072824571175445665b5cc44d413e"`, `7140826633a7ab9d9093e4a2c439e52c9d8072824571175445665b5cc44d413e", "default_rank": "batch"`),
		Entry("unknown model", "$.workspaces[0].models[0]", `"weight": 4,`, `"weight": 4, "models": ["gpt"],`),
		Entry("short key", "$.workspaces[0].keys[0].sha256", firstKeyHash, "abc"),
		Entry("upper-case key", "$.workspaces[0].keys[0].sha256", firstKeyHash, strings.ToUpper(firstKeyHash)),
		Entry("same key twice", "$.workspaces[1].keys[0].sha256", "fd91cc1f7594b53f073957179b72ea6cf09bb0e59bb33bbcbe2f781ad4e2aeda", firstKeyHash),
		Entry("queue bounds", "$.workspaces[0].max_queued_per_caller", `"max_queued_per_caller": 40`, `"max_queued_per_caller": 400`),
		Entry("hidden rule", "$.services[0].rules[1]", `"method": "PUT",
          "path_prefix": "/drafts/"`, `"method": "GET",
          "path_prefix": "/portfolios/x"`),
		Entry("relative prefix", "$.services[0].rules[0].path_prefix", `"/portfolios/"`, `"portfolios/"`),
		Entry("answer without room for a prompt", "$.models[0].max_output_tokens", `"max_output_tokens": 1024`, `"max_output_tokens": 16384`),
		Entry("model too large", "$.models[0].weight_bytes", `"weight_bytes": 8000000000`, `"weight_bytes": 90000000000`),
		Entry("too many endpoints", "$.models[0].min_endpoints", `"min_endpoints": 3`, `"min_endpoints": 65`),
		Entry("backoff", "$.retry.backoff_max_ms", `"backoff_max_ms": 1000`, `"backoff_max_ms": 10`),
		Entry("silence bound", "$.limits.silent_stream_ms", `"silent_stream_ms": 1500`, `"silent_stream_ms": 150`),
		Entry("retention", "$.claims.retention_s", `"retention_s": 86400`, `"retention_s": 3605`),
		Entry("unknown class", "$.fleet.domains[0].classes[0].class", `"class": "a100"`, `"class": "h100"`),
		Entry("class priced twice", "$.fleet.domains[0].classes[1].class", `"class": "l4"`, `"class": "a100"`),
	)

	// Guards against a validation that reports only one mistake per run.
	It("reports all mistakes at once", func() {
		Expect(problemPaths(`"floor": 0.25`, `"floor": 9`, `"worth": 3`, `"worth": 0`, `"production"`, `""`)).To(Equal(
			[]string{"$.environment", "$.ranks[0].floor", "$.ranks[1].worth"}))
		Expect(problemPaths(`"floor": 0.25`, `"floor": 0.9`, `"class": "l4"`, `"class": "h100"`, `"retention_s": 86400`, `"retention_s": 10`)).To(Equal(
			[]string{"$.ranks", "$.claims.retention_s", "$.fleet.domains[0].classes[1].class"}))
	})

	// Guards against a secret in logs when an operator pasted it in place of its hash.
	It("does not repeat an invalid key hash in the error", func() {
		_, err := conf.Parse([]byte(strings.Replace(exampleText(), firstKeyHash, "my-secret", 1)))
		Expect(err).To(HaveOccurred())
		Expect(err.Error()).NotTo(ContainSubstring("my-secret"))
	})
})

// schemaNode contains the parts of a JSON Schema that the tests read.
type schemaNode struct {
	Type       string
	Required   []string
	Properties map[string]*schemaNode
	Items      *schemaNode
}

func compareWithType(path string, node *schemaNode, goType reflect.Type) {
	types := map[reflect.Kind]string{
		reflect.String: "string", reflect.Int: "integer", reflect.Int64: "integer", reflect.Float64: "number",
		reflect.Bool: "boolean", reflect.Slice: "array", reflect.Struct: "object",
	}
	Expect(node).NotTo(BeNil(), path)
	Expect(node.Type).To(Equal(types[goType.Kind()]), path)
	switch goType.Kind() {
	case reflect.Slice:
		compareWithType(path+"[]", node.Items, goType.Elem())
	case reflect.Struct:
		var names, required []string
		for _, field := range jsoncheck.Fields(goType) {
			names = append(names, field.Name)
			if !field.Optional {
				required = append(required, field.Name)
			}
			compareWithType(path+"."+field.Name, node.Properties[field.Name], field.Type)
		}
		Expect(slices.Collect(maps.Keys(node.Properties))).To(ConsistOf(names), path)
		Expect(node.Required).To(ConsistOf(required), path)
	}
}

var _ = Describe("Schema", func() {
	// Guards against a field that only the schema or only the Go types have.
	It("has the same fields as the Go types", func() {
		var root schemaNode
		Expect(json.Unmarshal(conf.Schema, &root)).To(Succeed())
		compareWithType("$", &root, reflect.TypeFor[conf.Document]())
	})

	// Guards against a field that the operators' documentation does not describe.
	It("has every field in the documentation", func() {
		page, err := os.ReadFile("../../../docs/operators-document.md")
		Expect(err).NotTo(HaveOccurred())
		for _, path := range jsoncheck.Paths(reflect.TypeFor[conf.Document]()) {
			Expect(string(page)).To(ContainSubstring("\n| `"+path+"` |"), path)
		}
	})
})

var _ = Describe("Diff", func() {
	parse := func(text string) *conf.Document {
		doc, err := conf.Parse([]byte(text))
		Expect(err).NotTo(HaveOccurred())
		return doc
	}

	// Guards against diffs that report a moved element as changed, miss a change or
	// show a whole key hash.
	It("matches elements by name, reports a changed order of ranks and shortens hashes", func() {
		a, b := parse(exampleText()), parse(exampleText())
		Expect(conf.Diff(a, b)).To(BeEmpty())
		slices.Reverse(b.Workspaces)
		Expect(conf.Diff(a, b)).To(BeEmpty())
		b.Workspace("tutors").Weight = 3
		b.Workspace("north-school").Keys[0].SHA256 = strings.Repeat("0", 64)
		b.Ranks[0], b.Ranks[1] = b.Ranks[1], b.Ranks[0]
		b.Workspaces = append(b.Workspaces, conf.Workspace{Name: "new", Keys: []conf.Key{{SHA256: firstKeyHash}}})
		b.Fleet.Domains = b.Fleet.Domains[1:]
		changes := conf.Diff(a, b)
		var seen []string
		for _, c := range changes {
			seen = append(seen, string(c.Kind)+" "+c.Path)
			Expect(string(c.Old) + string(c.New)).NotTo(ContainSubstring(firstKeyHash))
		}
		Expect(seen).To(ConsistOf(
			"reordered $.ranks",
			"changed $.workspaces[tutors].weight",
			"removed $.workspaces[north-school].keys[31561264…]",
			"added $.workspaces[north-school].keys[00000000…]",
			"added $.workspaces[new]",
			"removed $.fleet.domains[se-a]",
		))
	})
})

// FuzzParse guards against panics, errors of an unexpected type, and documents
// that are accepted at first but refused or changed after encoding.
func FuzzParse(f *testing.F) {
	for _, path := range examples {
		data, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := conf.Parse(data)
		if err != nil {
			var invalid *conf.ValidationError
			if !errors.As(err, &invalid) || len(invalid.Problems) == 0 {
				t.Fatalf("Parse returned an error that is not a ValidationError with problems: %v", err)
			}
			return
		}
		encoded, err := json.Marshal(doc)
		if err != nil {
			t.Fatal(err)
		}
		reparsed, err := conf.Parse(encoded)
		if err != nil {
			t.Fatalf("a valid document is refused after it was encoded: %v", err)
		}
		if changes := conf.Diff(doc, reparsed); len(changes) > 0 {
			t.Fatalf("encoding changed the document: %v", changes)
		}
	})
}
