package conf

import (
	"bytes"
	_ "embed" // for schema.json
	"errors"
	"fmt"
	"math/big"
	"sort"
	"strconv"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"

	"github.com/boragelead/boragelead/internal/jsoncheck"
)

// Schema is the JSON Schema (draft 2020-12) of the operators' document.
//
//go:embed schema.json
var Schema []byte

const schemaURL = "https://boragelead.invalid/schema.json"

// compiledSchema returns the compiled schema. It panics on a failure: the schema
// is embedded and tests compile it, so a failure is a programming error.
var compiledSchema = sync.OnceValue(func() *jsonschema.Schema {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(Schema))
	if err != nil {
		panic(err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(schemaURL, document); err != nil {
		panic(err)
	}
	return compiler.MustCompile(schemaURL)
})

// syntaxAndSchemaProblems returns syntax errors, duplicate keys and violations of the schema.
func syntaxAndSchemaProblems(data []byte) []Problem {
	problems := fromJSONCheck(jsoncheck.Check(data, nil))
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		// jsoncheck.Check has already reported the syntax error with its line.
		return problems
	}
	var invalid *jsonschema.ValidationError
	if errors.As(compiledSchema().Validate(value), &invalid) {
		problems = append(problems, schemaProblems(value, invalid)...)
	}
	sort.SliceStable(problems, func(i, j int) bool { return problems[i].Path < problems[j].Path })
	return problems
}

// schemaProblems returns the leaves of the validator's error tree as problems.
func schemaProblems(value any, invalid *jsonschema.ValidationError) []Problem {
	var problems []Problem
	for _, cause := range invalid.Causes {
		problems = append(problems, schemaProblems(value, cause)...)
	}
	if len(invalid.Causes) > 0 {
		return problems
	}
	path := instancePath(value, invalid.InstanceLocation)
	switch k := invalid.ErrorKind.(type) {
	case *kind.Required:
		for _, name := range k.Missing {
			problems = append(problems, Problem{Path: jsoncheck.Join(path, name), Message: "is required"})
		}
	case *kind.AdditionalProperties:
		for _, name := range k.Properties {
			problems = append(problems, Problem{Path: jsoncheck.Join(path, name), Message: "unknown field"})
		}
	default:
		problems = append(problems, Problem{Path: path, Message: describeError(invalid.ErrorKind)})
	}
	return problems
}

func describeError(found jsonschema.ErrorKind) string {
	switch k := found.(type) {
	case *kind.Type:
		return fmt.Sprintf("must be of type %s, not %s", strings.Join(k.Want, " or "), k.Got)
	case *kind.Minimum:
		return fmt.Sprintf("must be at least %s, not %s", formatNumber(k.Want), formatNumber(k.Got))
	case *kind.Maximum:
		return fmt.Sprintf("must be at most %s, not %s", formatNumber(k.Want), formatNumber(k.Got))
	case *kind.ExclusiveMinimum:
		return fmt.Sprintf("must be above %s, not %s", formatNumber(k.Want), formatNumber(k.Got))
	case *kind.MinItems:
		return fmt.Sprintf("needs at least %d elements, not %d", k.Want, k.Got)
	case *kind.MaxItems:
		return fmt.Sprintf("may have at most %d elements, not %d", k.Want, k.Got)
	case *kind.MinLength:
		return "must not be empty"
	case *kind.MaxLength:
		return fmt.Sprintf("may have at most %d characters", k.Want)
	case *kind.Enum:
		return fmt.Sprintf("must be one of %v", k.Want)
	case *kind.Pattern:
		return describePattern(k)
	default:
		return fmt.Sprintf("breaks the rule %s", strings.Join(found.KeywordPath(), "/"))
	}
}

// describePattern describes a value that does not match its pattern. It omits
// the value of a key hash, because a secret may have been pasted in its place.
func describePattern(k *kind.Pattern) string {
	switch {
	case strings.Contains(k.Want, "{64}"):
		return "must be the 64 lower-case hexadecimal digits of a SHA-256"
	case k.Want == "^/":
		return fmt.Sprintf("%q must begin with /", k.Got)
	default:
		return fmt.Sprintf("%q must be 1 to 63 letters, digits, dots, hyphens or underscores, beginning with a letter or digit", k.Got)
	}
}

func formatNumber(r *big.Rat) string {
	f, _ := r.Float64()
	return strconv.FormatFloat(f, 'f', -1, 64)
}

// instancePath converts a location reported by the validator to a JSON path. It
// uses value to distinguish list indexes from object keys that look like numbers.
func instancePath(value any, location []string) string {
	path := "$"
	for _, step := range location {
		switch node := value.(type) {
		case []any:
			path += "[" + step + "]"
			index, err := strconv.Atoi(step)
			if err != nil || index >= len(node) {
				return path
			}
			value = node[index]
		case map[string]any:
			path = jsoncheck.Join(path, step)
			value = node[step]
		}
	}
	return path
}
