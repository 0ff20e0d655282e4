package jsonc

import (
	"bytes"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Has reports that the text names a value at the path.
func (d *Document) Has(path []string) bool { return d.find(path) != nil }

func (d *Document) find(path []string) *hujson.Value {
	value := &d.value
	for _, name := range path {
		if value = childOf(value, name); value == nil {
			return nil
		}
	}
	return value
}

// Names returns the names of the object at the path, in the order of the text.
func (d *Document) Names(path []string) []string {
	value := d.find(path)
	if value == nil {
		return nil
	}
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		return nil
	}
	names := make([]string, 0, len(object.Members))
	for i := range object.Members {
		names = append(names, memberName(&object.Members[i]))
	}
	return names
}

// Text returns the text of the value at the path with its comments, or nil.
func (d *Document) Text(path []string) []byte {
	value := d.find(path)
	if value == nil {
		return nil
	}
	start := value.StartOffset - len(value.BeforeExtra)
	end := value.EndOffset + len(value.AfterExtra)
	return bytes.TrimSpace(d.text[start:end])
}

// Set returns the document's text with the value at the path replaced by
// another text. The last name may be new. Comments on both sides are kept.
func (d *Document) Set(path []string, text []byte) ([]byte, error) {
	value := d.find(path)
	if value == nil {
		return d.add(path, text)
	}
	start := value.StartOffset - len(value.BeforeExtra)
	end := value.EndOffset + len(value.AfterExtra)
	var out bytes.Buffer
	out.Write(d.text[:start])
	out.WriteByte(' ')
	out.Write(endLine(text))
	out.Write(d.text[end:])
	return out.Bytes(), nil
}

// endLine trims a value's text. When a comment follows the value, the line is
// ended, so that the comment does not swallow what comes next.
func endLine(text []byte) []byte {
	trimmed := bytes.TrimSpace(text)
	value, err := hujson.Parse(endLastLine(trimmed))
	if err == nil && bytes.Contains(value.AfterExtra, []byte("//")) {
		return endLastLine(trimmed)
	}
	return trimmed
}

// add inserts a new member into an object: first an empty one, then its text,
// since a patch drops the comments around a value.
func (d *Document) add(path []string, text []byte) ([]byte, error) {
	patch := `[{"op": "add", "path": "` + pointer(path) + `", "value": null}]`
	changed := d.value.Clone()
	if err := changed.Patch([]byte(patch)); err != nil {
		return nil, errors.Wrapf(err, "add %s", strings.Join(path, "."))
	}
	grown, err := Parse(d.file, changed.Pack())
	if err != nil {
		return nil, errors.Wrapf(err, "add %s", strings.Join(path, "."))
	}
	return grown.Set(path, text)
}

var pointerEscapes = strings.NewReplacer("~", "~0", "/", "~1", `\`, `\\`, `"`, `\"`)

// pointer renders a path as a JSON pointer inside a JSON string.
func pointer(path []string) string {
	var b strings.Builder
	for _, name := range path {
		b.WriteString("/" + pointerEscapes.Replace(name))
	}
	return b.String()
}
