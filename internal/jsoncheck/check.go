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

// maxDepth bounds nesting, so that hostile input cannot exhaust the stack.
const maxDepth = 64

// Problem is one mistake in a JSON text.
type Problem struct {
	// Path is the JSON path of the mistake, such as $.ranks[0].floor.
	Path    string
	Message string
}

// Check walks a JSON text and returns its mistakes. With a shape (a struct
// type) it also reports unknown fields and wrong types; with nil it reports
// only syntax errors and duplicate keys.
func Check(data []byte, shape reflect.Type) []Problem {
	w := &walker{data: data, decoder: json.NewDecoder(bytes.NewReader(data))}
	w.decoder.UseNumber()
	err := w.value("$", shape, 0)
	if err == nil {
		err = w.end()
	}
	if err != nil {
		w.add("$", w.describe(err))
	}
	return w.problems
}

type walker struct {
	data     []byte
	decoder  *json.Decoder
	problems []Problem
}

var (
	errTooDeep  = errors.New("nested too deeply")
	errTrailing = errors.New("data after the end of the document")
)

func (w *walker) add(path, message string) {
	w.problems = append(w.problems, Problem{Path: path, Message: message})
}

func (w *walker) end() error {
	if _, err := w.decoder.Token(); !errors.Is(err, io.EOF) {
		return errTrailing
	}
	return nil
}

// describe adds the line of a syntax error.
func (w *walker) describe(err error) string {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return "the JSON text ends too early"
	}
	offset := min(int(w.decoder.InputOffset()), len(w.data))
	line := 1 + bytes.Count(w.data[:offset], []byte("\n"))
	return fmt.Sprintf("not valid JSON near line %d: %v", line, err)
}

func (w *walker) value(path string, shape reflect.Type, depth int) error {
	if depth > maxDepth {
		return errTooDeep
	}
	token, err := w.decoder.Token()
	if err != nil {
		return err
	}
	optional := shape != nil && shape.Kind() == reflect.Pointer
	if optional {
		shape = shape.Elem()
	}
	switch token := token.(type) {
	case json.Delim:
		if token == '{' {
			return w.object(path, w.expect(path, shape, reflect.Struct, "an object"), depth)
		}
		return w.array(path, w.expect(path, shape, reflect.Slice, "a list"), depth)
	default:
		if token != nil || !optional {
			w.scalar(path, shape, token)
		}
		return nil
	}
}

// expect returns the shape when it is of the kind, and reports a mistake and returns nil otherwise.
func (w *walker) expect(path string, shape reflect.Type, kind reflect.Kind, found string) reflect.Type {
	if shape == nil || shape.Kind() == kind {
		return shape
	}
	w.add(path, fmt.Sprintf("must be %s, not %s", describeShape(shape), found))
	return nil
}

func (w *walker) object(path string, shape reflect.Type, depth int) error {
	seen := map[string]bool{}
	for w.decoder.More() {
		token, err := w.decoder.Token()
		if err != nil {
			return err
		}
		key := token.(string)
		at := Join(path, key)
		if seen[key] {
			w.add(at, "the key is given twice")
		}
		seen[key] = true
		if err := w.value(at, w.field(at, shape, key), depth+1); err != nil {
			return err
		}
	}
	_, err := w.decoder.Token()
	return err
}

func (w *walker) field(path string, shape reflect.Type, key string) reflect.Type {
	if shape == nil {
		return nil
	}
	for _, field := range Fields(shape) {
		if field.Name == key {
			return field.Type
		}
	}
	w.add(path, "unknown field")
	return nil
}

func (w *walker) array(path string, shape reflect.Type, depth int) error {
	var element reflect.Type
	if shape != nil {
		element = shape.Elem()
	}
	for i := 0; w.decoder.More(); i++ {
		if err := w.value(path+"["+strconv.Itoa(i)+"]", element, depth+1); err != nil {
			return err
		}
	}
	_, err := w.decoder.Token()
	return err
}

func (w *walker) scalar(path string, shape reflect.Type, token json.Token) {
	if shape == nil {
		return
	}
	fits := false
	found := "null"
	switch value := token.(type) {
	case string:
		fits, found = shape.Kind() == reflect.String, "a text"
	case bool:
		fits, found = shape.Kind() == reflect.Bool, "true or false"
	case json.Number:
		found = "the number " + value.String()
		fits = numberFits(shape.Kind(), value)
	}
	if !fits {
		w.add(path, fmt.Sprintf("must be %s, not %s", describeShape(shape), found))
	}
}

func numberFits(kind reflect.Kind, value json.Number) bool {
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

func describeShape(shape reflect.Type) string {
	switch shape.Kind() {
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

// Field is a field of a struct as JSON names it.
type Field struct {
	Name     string
	Type     reflect.Type
	Optional bool
}

// Fields lists the JSON fields of a struct type.
func Fields(shape reflect.Type) []Field {
	fields := make([]Field, 0, shape.NumField())
	for i := range shape.NumField() {
		name, options, _ := strings.Cut(shape.Field(i).Tag.Get("json"), ",")
		if name == "" || name == "-" {
			continue
		}
		fields = append(fields, Field{Name: name, Type: shape.Field(i).Type, Optional: options == "omitempty"})
	}
	return fields
}

// Paths lists the paths of all fields below a struct type, with [] for list elements.
func Paths(shape reflect.Type) []string {
	var paths []string
	collect("", shape, &paths)
	return paths
}

func collect(prefix string, shape reflect.Type, paths *[]string) {
	for _, field := range Fields(shape) {
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
			collect(path+".", element, paths)
		}
	}
}

// Join appends a key to a JSON path; a key that is no plain name is quoted.
func Join(path, key string) string {
	for _, r := range key {
		if r != '_' && r != '-' && (r < '0' || r > '9') && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') {
			return path + "[" + strconv.Quote(key) + "]"
		}
	}
	return path + "." + key
}
