package jsonc_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/chicorylug/chicorylug/internal/jsonc"
)

type sample struct {
	Name  string            `json:"name"`
	Count int               `json:"count"`
	Names map[string]sample `json:"names"`
}

func TestDecodeReportsAllProblemsWithPositions(t *testing.T) {
	err := jsonc.Decode("f.jsonc", []byte("{\n \"name\": 1, // no\n \"count\": 1.5,\n \"x\": 0\n}"), &sample{})
	must.EqError(t, err, "f.jsonc:2:10: name: found 1, want a string\n"+
		"f.jsonc:3:11: count: found 1.5, want a whole number\n"+
		"f.jsonc:4:2: x: unknown name; allowed are count, name, names")
}

func TestDecodeReportsSyntaxErrorsWithPositions(t *testing.T) {
	err := jsonc.Decode("f.jsonc", []byte("{\n \"name\" 1}"), &sample{})
	must.ErrorContains(t, err, "f.jsonc:2:")
}

func TestSetReplacesAndAdds(t *testing.T) {
	doc, err := jsonc.Parse("f", []byte("{\"names\": {/* a */ \"a\": {} /* z */, \"b\": {}}}"))
	must.NoError(t, err)
	replaced, err := doc.Set([]string{"names", "b"}, []byte(`{"count": 2}`))
	must.NoError(t, err)
	must.Eq(t, "{\"names\": {/* a */ \"a\": {} /* z */, \"b\": {\"count\": 2}}}\n", string(replaced))
	added, err := doc.Set([]string{"names", "c/d"}, []byte(`{"count": 3} // three`))
	must.NoError(t, err)
	var out sample
	must.NoError(t, jsonc.Decode("f", added, &out))
	must.Eq(t, 3, out.Names["c/d"].Count)
	must.StrContains(t, string(added), "// three")
}

func FuzzDecode(f *testing.F) {
	for _, text := range []string{`{"name": "a"}`, `{"names": {"a": {"count": 1}}} // c`, `{"name": null}`, `[`, "{\"a\": \"\x00\"}", `{"names": {"": {}}}`} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		doc, err := jsonc.Parse("f", []byte(text))
		if err != nil {
			return
		}
		if doc.Decode(&sample{}) != nil {
			return
		}
		for _, name := range doc.Names([]string{"names"}) {
			changed, err := doc.Set([]string{"names", name}, doc.Text([]string{"names", name}))
			must.NoError(t, err)
			must.NoError(t, jsonc.Decode("f", changed, &sample{}))
		}
	})
}
