// Package formtest checks that the JSON encoding of messages and stored values does not
// change, so that daemons of different builds understand each other. Tests of other
// packages list their encoded types as Forms. Check encodes a value of each type with all
// fields set and compares the JSON with recorded bytes.
package formtest

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// recordVariable names the environment variable that makes Check write the
// recorded files instead of comparing with them.
const recordVariable = "CHICORYLUG_RECORD_FORMS"

// recordedFolder holds the recorded file of a package, relative to the package.
const recordedFolder = "testdata"

// Form is an encoded type: the name of its recorded bytes, and a value of the type.
type Form struct {
	Name  string
	Value any
}

// Check encodes a filled value of each type and fails the test if the bytes differ from
// those recorded in testdata/forms.json, or if they don't decode to the same value. With
// CHICORYLUG_RECORD_FORMS set it first replaces the recorded file.
func Check(t *testing.T, forms ...Form) {
	t.Helper()
	encoded := map[string]json.RawMessage{}
	for _, form := range forms {
		encoded[form.Name] = encode(t, form)
	}
	must.MapLen(t, len(forms), encoded, must.Sprint("two forms have the same name"))
	file := filepath.Join(recordedFolder, "forms.json")
	text, err := json.MarshalIndent(encoded, "", " ")
	must.NoError(t, err)
	if os.Getenv(recordVariable) != "" {
		must.NoError(t, os.MkdirAll(recordedFolder, 0o755))
		must.NoError(t, os.WriteFile(file, append(text, '\n'), 0o644))
	}
	recorded, err := os.ReadFile(file)
	must.NoError(t, err)
	must.EqOp(t, string(recorded), string(text)+"\n")
}

// encode returns the JSON of a filled value, and checks that the JSON has no fields
// unknown to the type and that decoding and encoding it again gives the same bytes.
func encode(t *testing.T, form Form) json.RawMessage {
	t.Helper()
	typ := reflect.TypeOf(form.Value)
	filled := reflect.New(typ)
	f := filler{}
	f.fill(filled.Elem(), 0)
	text, err := json.Marshal(filled.Interface())
	must.NoError(t, err, must.Sprint(form.Name))

	decoded := reflect.New(typ)
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	must.NoError(t, decoder.Decode(decoded.Interface()), must.Sprint(form.Name))
	reencoded, err := json.Marshal(decoded.Interface())
	must.NoError(t, err, must.Sprint(form.Name))
	must.EqOp(t, string(text), string(reencoded), must.Sprint(form.Name))
	return text
}

// maxDepth limits the nesting of filled values, for types that contain themselves.
const maxDepth = 8

// filler gives each field a distinct value by counting from 1. Bools are set to true.
type filler struct{ count int }

func (f *filler) next() int {
	f.count++
	return f.count
}

func (f *filler) fill(v reflect.Value, depth int) {
	if !v.CanSet() || depth > maxDepth {
		return
	}
	switch v.Interface().(type) {
	case time.Time:
		v.Set(reflect.ValueOf(time.UnixMilli(int64(1_700_000_000_000 + f.next())).UTC()))
		return
	case json.RawMessage:
		v.SetBytes([]byte(strconv.Itoa(f.next())))
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(f.next()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(f.next()))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.next()) + 0.5)
	case reflect.String:
		v.SetString("v" + strconv.Itoa(f.next()))
	case reflect.Struct:
		for i := range v.NumField() {
			f.fill(v.Field(i), depth+1)
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem(), depth+1)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		f.fill(v.Index(0), depth+1)
	case reflect.Array:
		for i := range v.Len() {
			f.fill(v.Index(i), depth+1)
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(key, depth+1)
		f.fill(value, depth+1)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	}
}
