package conf

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"reflect"

	"github.com/boragelead/boragelead/internal/jsoncheck"
)

// Parse decodes and validates a document. The error is a *ValidationError that
// lists every mistake found. Rules between fields are checked only if the
// document is valid JSON and matches the schema, because otherwise they would
// report misleading follow-up mistakes.
func Parse(data []byte) (*Document, error) {
	problems := syntaxAndSchemaProblems(data)
	if len(problems) > 0 {
		return nil, &ValidationError{Problems: problems}
	}
	doc := new(Document)
	if err := json.Unmarshal(data, doc); err != nil {
		// The schema accepts 1.0 for an integer, but the decoder does not.
		return nil, &ValidationError{Problems: decodeProblems(data, err)}
	}
	if problems := doc.problems(); len(problems) > 0 {
		return nil, &ValidationError{Problems: problems}
	}
	return doc, nil
}

func decodeProblems(data []byte, err error) []Problem {
	found := fromJSONCheck(jsoncheck.Check(data, reflect.TypeFor[Document]()))
	if len(found) > 0 {
		return found
	}
	return []Problem{{Path: "$", Message: err.Error()}}
}

func fromJSONCheck(found []jsoncheck.Problem) []Problem {
	problems := make([]Problem, 0, len(found))
	for _, p := range found {
		problems = append(problems, Problem(p))
	}
	return problems
}

// Digest returns the SHA-256 of the canonical encoding of the document in hexadecimal.
func Digest(doc *Document) string {
	data, err := json.Marshal(doc)
	if err != nil {
		// Encoding cannot fail, because Document contains only types that JSON supports.
		panic(err)
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
