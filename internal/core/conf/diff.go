package conf

import (
	"encoding/json"
	"reflect"
	"slices"

	"github.com/boragelead/boragelead/internal/jsoncheck"
)

// ChangeKind is the kind of a difference.
type ChangeKind string

// Kinds of change.
const (
	Added     ChangeKind = "added"
	Removed   ChangeKind = "removed"
	Changed   ChangeKind = "changed"
	Reordered ChangeKind = "reordered"
)

// Change is one difference between two documents.
type Change struct {
	// Path is a JSON path in which list elements are identified by name, such as
	// $.ranks[deadline].floor.
	Path string          `json:"path"`
	Kind ChangeKind      `json:"kind"`
	Old  json.RawMessage `json:"old,omitempty"`
	New  json.RawMessage `json:"new,omitempty"`
}

// displayedHashDigits is the number of digits of a key hash that a diff shows.
// They are enough to find the key in the document and too few to search for the
// secret.
const displayedHashDigits = 8

// Diff returns the changes from a to b in the order of the fields. Elements of
// lists are matched by name. Key hashes are shortened.
func Diff(a, b *Document) []Change {
	d := &differ{}
	d.compare("$", reflect.ValueOf(*a), reflect.ValueOf(*b))
	return d.changes
}

type differ struct{ changes []Change }

func (d *differ) compare(path string, a, b reflect.Value) {
	switch {
	case a.Kind() == reflect.Struct:
		for _, field := range reflect.VisibleFields(a.Type()) {
			name := fieldName(field)
			d.compare(jsoncheck.Join(path, name), a.FieldByIndex(field.Index), b.FieldByIndex(field.Index))
		}
	case a.Kind() == reflect.Slice && a.Type().Elem().Kind() == reflect.Struct:
		d.compareLists(path, a, b)
	case !reflect.DeepEqual(a.Interface(), b.Interface()) && !bothEmpty(a, b):
		d.changes = append(d.changes, Change{Path: path, Kind: Changed, Old: encode(a), New: encode(b)})
	}
}

// bothEmpty reports whether both values are empty lists. An empty list is equal
// to a missing one.
func bothEmpty(a, b reflect.Value) bool {
	return a.Kind() == reflect.Slice && a.Len() == 0 && b.Len() == 0
}

func fieldName(field reflect.StructField) string {
	for _, f := range jsoncheck.Fields(reflect.StructOf([]reflect.StructField{field})) {
		return f.Name
	}
	return field.Name
}

func (d *differ) compareLists(path string, a, b reflect.Value) {
	before, after := elementNames(a), elementNames(b)
	for i, name := range before {
		at := path + "[" + shortName(a.Index(i)) + "]"
		if j := slices.Index(after, name); j >= 0 {
			d.compare(at, a.Index(i), b.Index(j))
			continue
		}
		d.changes = append(d.changes, Change{Path: at, Kind: Removed, Old: encode(a.Index(i))})
	}
	for j, name := range after {
		if !slices.Contains(before, name) {
			at := path + "[" + shortName(b.Index(j)) + "]"
			d.changes = append(d.changes, Change{Path: at, Kind: Added, New: encode(b.Index(j))})
		}
	}
	d.compareOrder(path, a, before, after)
}

// compareOrder reports a changed order of the elements that are in both lists.
// It does so only for ranks, which are ordered by urgency, and for service
// rules, which are ordered by precedence.
func (d *differ) compareOrder(path string, list reflect.Value, before, after []string) {
	switch list.Type().Elem() {
	case reflect.TypeFor[Rank](), reflect.TypeFor[ServiceRule]():
	default:
		return
	}
	missing := func(other []string) func(string) bool {
		return func(name string) bool { return !slices.Contains(other, name) }
	}
	old := slices.DeleteFunc(slices.Clone(before), missing(after))
	now := slices.DeleteFunc(slices.Clone(after), missing(before))
	if !slices.Equal(old, now) {
		d.changes = append(d.changes, Change{Path: path, Kind: Reordered, Old: encode(reflect.ValueOf(old)), New: encode(reflect.ValueOf(now))})
	}
}

func elementNames(list reflect.Value) []string {
	names := make([]string, list.Len())
	for i := range names {
		names[i] = elementName(list.Index(i))
	}
	return names
}

// elementName returns the name or other value that identifies an element of a list.
func elementName(element reflect.Value) string {
	switch e := element.Interface().(type) {
	case Key:
		return e.SHA256
	case ServiceRule:
		return e.Method + " " + e.PathPrefix
	case DomainFleet:
		return e.FailureDomain
	case ClassPrice:
		return e.Class
	default:
		return element.FieldByName("Name").String()
	}
}

func shortName(element reflect.Value) string {
	if key, ok := element.Interface().(Key); ok {
		return shortHash(key.SHA256)
	}
	return elementName(element)
}

func shortHash(hash string) string {
	if len(hash) <= displayedHashDigits {
		return hash
	}
	return hash[:displayedHashDigits] + "…"
}

// encode returns the JSON encoding of a value with shortened key hashes.
func encode(value reflect.Value) json.RawMessage {
	shown := value.Interface()
	switch v := shown.(type) {
	case Key:
		v.SHA256 = shortHash(v.SHA256)
		shown = v
	case Workspace:
		v.Keys = slices.Clone(v.Keys)
		for i := range v.Keys {
			v.Keys[i].SHA256 = shortHash(v.Keys[i].SHA256)
		}
		shown = v
	}
	data, err := json.Marshal(shown)
	if err != nil {
		// Encoding cannot fail, because documents contain only types that JSON supports.
		panic(err)
	}
	return data
}
