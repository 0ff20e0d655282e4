package jsonc

import (
	"bytes"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Has reports whether the text has a value at the path.
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

// Names returns the member names of the object at the path in the order of the
// text, or nil if there is no object.
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

// Text returns the text of the value at the path with its comments, or nil if
// there is no value.
func (d *Document) Text(path []string) []byte {
	value := d.find(path)
	if value == nil {
		return nil
	}
	start := value.StartOffset - len(value.BeforeExtra)
	end := value.EndOffset + len(value.AfterExtra)
	return bytes.TrimSpace(d.text[start:end])
}

// Set returns the document's text with the value at the path replaced by another
// text. If the last name of the path does not exist, a member is added. Comments
// directly before and after the replaced value are replaced with it. All other
// comments, including those of the new text, are preserved.
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
	out.Write(trimValue(text))
	out.Write(d.text[end:])
	return out.Bytes(), nil
}

// trimValue trims white space around a value's text. If a line comment follows the
// value, the result ends with a newline, because the text inserted after it would
// otherwise become part of the comment.
func trimValue(text []byte) []byte {
	trimmed := bytes.TrimSpace(text)
	value, err := hujson.Parse(withFinalNewline(trimmed))
	if err == nil && bytes.Contains(value.AfterExtra, []byte("//")) {
		return withFinalNewline(trimmed)
	}
	return trimmed
}

// add inserts a new member into an object. It first adds the member with the value
// null and then replaces that value by the text, because a JSON patch drops the
// comments around a value.
func (d *Document) add(path []string, text []byte) ([]byte, error) {
	patch := `[{"op": "add", "path": "` + pointer(path) + `", "value": null}]`
	changed := d.value.Clone()
	if err := changed.Patch([]byte(patch)); err != nil {
		return nil, errors.Wrapf(err, "add %s", strings.Join(path, "."))
	}
	extended, err := Parse(d.file, changed.Pack())
	if err != nil {
		return nil, errors.Wrapf(err, "add %s", strings.Join(path, "."))
	}
	return extended.Set(path, text)
}

var pointerEscapes = strings.NewReplacer("~", "~0", "/", "~1", `\`, `\\`, `"`, `\"`)

// pointer formats a path as a JSON pointer that is escaped for use inside a JSON
// string.
func pointer(path []string) string {
	var b strings.Builder
	for _, name := range path {
		b.WriteString("/" + pointerEscapes.Replace(name))
	}
	return b.String()
}
