package jsoncheck

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
)

// maxDepth bounds the nesting, so that hostile input cannot exhaust the stack.
const maxDepth = 64

// Problem is one mistake in a JSON text.
type Problem struct {
	// Path is the JSON path of the mistake, such as $.ranks[0].floor.
	Path    string
	Message string
}

// Check parses a JSON text and returns its mistakes. If schema is a struct type,
// it also reports unknown fields and wrong types. If schema is nil, it reports
// only syntax errors and duplicate keys.
func Check(data []byte, schema reflect.Type) []Problem {
	c := &checker{data: data, decoder: json.NewDecoder(bytes.NewReader(data))}
	c.decoder.UseNumber()
	err := c.checkValue("$", schema, 0)
	if err == nil {
		err = c.expectEOF()
	}
	if err != nil {
		c.addProblem("$", c.describeError(err))
	}
	return c.problems
}

// checker collects the problems of one JSON text.
type checker struct {
	data     []byte
	decoder  *json.Decoder
	problems []Problem
}

var (
	errTooDeep  = errors.New("nested too deeply")
	errTrailing = errors.New("data after the end of the document")
)

func (c *checker) addProblem(path, message string) {
	c.problems = append(c.problems, Problem{Path: path, Message: message})
}

func (c *checker) expectEOF() error {
	if _, err := c.decoder.Token(); !errors.Is(err, io.EOF) {
		return errTrailing
	}
	return nil
}

// describeError returns the message for a syntax error, with its line.
func (c *checker) describeError(err error) string {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return "the JSON text ends too early"
	}
	offset := min(int(c.decoder.InputOffset()), len(c.data))
	line := 1 + bytes.Count(c.data[:offset], []byte("\n"))
	return fmt.Sprintf("not valid JSON near line %d: %v", line, err)
}

func (c *checker) checkValue(path string, schema reflect.Type, depth int) error {
	if depth > maxDepth {
		return errTooDeep
	}
	token, err := c.decoder.Token()
	if err != nil {
		return err
	}
	optional := schema != nil && schema.Kind() == reflect.Pointer
	if optional {
		schema = schema.Elem()
	}
	switch token := token.(type) {
	case json.Delim:
		if token == '{' {
			return c.checkObject(path, c.expectKind(path, schema, reflect.Struct, "an object"), depth)
		}
		return c.checkArray(path, c.expectKind(path, schema, reflect.Slice, "a list"), depth)
	default:
		if token != nil || !optional {
			c.checkScalar(path, schema, token)
		}
		return nil
	}
}

// expectKind returns the schema if it is nil or of the given kind. Otherwise it
// reports a problem and returns nil.
func (c *checker) expectKind(path string, schema reflect.Type, kind reflect.Kind, actual string) reflect.Type {
	if schema == nil || schema.Kind() == kind {
		return schema
	}
	c.addProblem(path, fmt.Sprintf("must be %s, not %s", describeType(schema), actual))
	return nil
}

func (c *checker) checkObject(path string, schema reflect.Type, depth int) error {
	seen := map[string]bool{}
	for c.decoder.More() {
		token, err := c.decoder.Token()
		if err != nil {
			return err
		}
		key := token.(string)
		keyPath := Join(path, key)
		if seen[key] {
			c.addProblem(keyPath, "the key is given twice")
		}
		seen[key] = true
		if err := c.checkValue(keyPath, c.field(keyPath, schema, key), depth+1); err != nil {
			return err
		}
	}
	_, err := c.decoder.Token()
	return err
}

// field returns the type of the field with the given key. It reports a problem
// and returns nil if the schema has no such field.
func (c *checker) field(path string, schema reflect.Type, key string) reflect.Type {
	if schema == nil {
		return nil
	}
	for _, field := range Fields(schema) {
		if field.Name == key {
			return field.Type
		}
	}
	c.addProblem(path, "unknown field")
	return nil
}

func (c *checker) checkArray(path string, schema reflect.Type, depth int) error {
	var element reflect.Type
	if schema != nil {
		element = schema.Elem()
	}
	for i := 0; c.decoder.More(); i++ {
		if err := c.checkValue(path+"["+strconv.Itoa(i)+"]", element, depth+1); err != nil {
			return err
		}
	}
	_, err := c.decoder.Token()
	return err
}

func (c *checker) checkScalar(path string, schema reflect.Type, token json.Token) {
	if schema == nil {
		return
	}
	matches := false
	actual := "null"
	switch value := token.(type) {
	case string:
		matches, actual = schema.Kind() == reflect.String, "a text"
	case bool:
		matches, actual = schema.Kind() == reflect.Bool, "true or false"
	case json.Number:
		actual = "the number " + value.String()
		matches = numberMatches(schema.Kind(), value)
	}
	if !matches {
		c.addProblem(path, fmt.Sprintf("must be %s, not %s", describeType(schema), actual))
	}
}

func numberMatches(kind reflect.Kind, value json.Number) bool {
	switch kind {
	case reflect.Float64:
		_, err := value.Float64()
		return err == nil
	case reflect.Int, reflect.Int64:
		_, err := value.Int64()
		return err == nil
	default:
		return false
	}
}

func describeType(schema reflect.Type) string {
	switch schema.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "a list"
	case reflect.String:
		return "a text"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

// Field is a field of a struct under its JSON name.
type Field struct {
	Name     string
	Type     reflect.Type
	Optional bool
}

// Fields returns the JSON fields of a struct type.
func Fields(schema reflect.Type) []Field {
	fields := make([]Field, 0, schema.NumField())
	for i := range schema.NumField() {
		name, options, _ := strings.Cut(schema.Field(i).Tag.Get("json"), ",")
		if name == "" || name == "-" {
			continue
		}
		fields = append(fields, Field{Name: name, Type: schema.Field(i).Type, Optional: options == "omitempty"})
	}
	return fields
}

// Paths returns the paths of all fields of a struct type, including nested ones,
// with [] for list elements.
func Paths(schema reflect.Type) []string {
	var paths []string
	collectPaths("", schema, &paths)
	return paths
}

func collectPaths(prefix string, schema reflect.Type, paths *[]string) {
	for _, field := range Fields(schema) {
		path := prefix + field.Name
		element := field.Type
		for element.Kind() == reflect.Slice || element.Kind() == reflect.Pointer {
			if element.Kind() == reflect.Slice {
				path += "[]"
			}
			element = element.Elem()
		}
		*paths = append(*paths, path)
		if element.Kind() == reflect.Struct {
			collectPaths(path+".", element, paths)
		}
	}
}

// Join appends a key to a JSON path. A key with characters other than letters,
// digits, hyphens and underscores is quoted.
func Join(path, key string) string {
	for _, r := range key {
		if r != '_' && r != '-' && (r < '0' || r > '9') && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') {
			return path + "[" + strconv.Quote(key) + "]"
		}
	}
	return path + "." + key
}
