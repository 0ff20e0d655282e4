package jsonc

import (
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/tailscale/hujson"
)

// checker checks a parsed value against a Go type and collects the problems.
type checker struct {
	doc      *Document
	problems Problems
}

func (c *checker) report(value *hujson.Value, path, format string, args ...any) {
	c.problems = append(c.problems, c.doc.problemAt(value.StartOffset, path, fmt.Sprintf(format, args...)))
}

func (c *checker) check(value *hujson.Value, t reflect.Type, path string) {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if reflect.PointerTo(t).Implements(reflect.TypeFor[json.Unmarshaler]()) {
		c.checkLiteral(value, t, path)
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		c.checkStruct(value, t, path)
	case reflect.Map:
		c.checkMap(value, t, path)
	case reflect.Slice:
		c.checkSlice(value, t, path)
	default:
		c.checkLiteral(value, t, path)
	}
}

// asObject returns the value as an object. It reports a value of another kind and
// repeated names.
func (c *checker) asObject(value *hujson.Value, path string) (*hujson.Object, bool) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		c.report(value, path, "found %s, want an object", describe(value))
		return nil, false
	}
	seen := map[string]bool{}
	for i := range object.Members {
		member := &object.Members[i]
		name := memberName(member)
		if seen[name] {
			c.report(&member.Name, joinPath(path, name), "the name is given twice")
		}
		seen[name] = true
	}
	return object, true
}

func (c *checker) checkStruct(value *hujson.Value, t reflect.Type, path string) {
	object, ok := c.asObject(value, path)
	if !ok {
		return
	}
	fields := fieldTypes(t)
	for i := range object.Members {
		member := &object.Members[i]
		name := memberName(member)
		fieldType, known := fields[name]
		if !known {
			c.report(&member.Name, joinPath(path, name), "unknown name; allowed are %s", allowedNames(fields))
			continue
		}
		c.check(&member.Value, fieldType, joinPath(path, name))
	}
}

func (c *checker) checkMap(value *hujson.Value, t reflect.Type, path string) {
	object, ok := c.asObject(value, path)
	if !ok {
		return
	}
	for i := range object.Members {
		member := &object.Members[i]
		c.check(&member.Value, t.Elem(), joinPath(path, memberName(member)))
	}
}

func (c *checker) checkSlice(value *hujson.Value, t reflect.Type, path string) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		c.report(value, path, "found %s, want a list", describe(value))
		return
	}
	for i := range array.Elements {
		c.check(&array.Elements[i], t.Elem(), fmt.Sprintf("%s.%d", path, i))
	}
}

func (c *checker) checkLiteral(value *hujson.Value, t reflect.Type, path string) {
	standard := value.Clone()
	standard.Standardize()
	err := json.Unmarshal(standard.Pack(), reflect.New(t).Interface())
	if err != nil || describe(value) == "null" {
		c.report(value, path, "found %s, want %s", describe(value), typeName(t))
	}
}

// describe returns a description of a value for a problem message.
func describe(value *hujson.Value) string {
	switch v := value.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "a list"
	case hujson.Literal:
		return string(v)
	default:
		return "nothing"
	}
}

func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int32, reflect.Int64:
		return "a whole number"
	case reflect.Uint, reflect.Uint32, reflect.Uint64:
		return "a whole number that is not negative"
	case reflect.Float64:
		return "a number"
	default:
		return t.Kind().String()
	}
}

// fieldTypes returns the types of a struct's fields by their JSON names. It omits
// fields without a json tag, which a text must not set.
func fieldTypes(t reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for i := range t.NumField() {
		field := t.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if field.IsExported() && name != "" && name != "-" {
			fields[name] = field.Type
		}
	}
	return fields
}

func allowedNames(fields map[string]reflect.Type) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
