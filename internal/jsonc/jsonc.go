// Package jsonc decodes JSON with comments strictly: unknown names, repeated
// names and wrong types are reported together, each with file, line, column and path.
package jsonc

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Problem is one thing wrong with a text.
type Problem struct {
	File   string `json:"file,omitempty"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
	// Path names the place in the tree, such as "teams.orders.pools.drafts.slots".
	Path    string `json:"path"`
	Message string `json:"message"`
}

// String renders file:line:column: path: message.
func (p Problem) String() string {
	place := fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
	if p.Path == "" {
		return place + ": " + p.Message
	}
	return place + ": " + p.Path + ": " + p.Message
}

// Problems is an error that lists all problems of a text.
type Problems []Problem

// Error implements the error interface.
func (ps Problems) Error() string {
	lines := make([]string, 0, len(ps))
	for _, p := range ps {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// Document is a parsed text that knows where its values stand.
type Document struct {
	file  string
	text  []byte
	value hujson.Value
}

// Parse reads a text. The error is of type Problems.
func Parse(file string, text []byte) (*Document, error) {
	text = endLastLine(text)
	value, err := hujson.Parse(text)
	if err != nil {
		line, column := syntaxPlace(err)
		return nil, Problems{{File: file, Line: line, Column: column, Message: err.Error()}}
	}
	return &Document{file: file, text: text, value: value}, nil
}

// endLastLine ends the last line of a text: the parser wants one after a comment.
func endLastLine(text []byte) []byte {
	if bytes.HasSuffix(text, []byte("\n")) {
		return text
	}
	return append(bytes.Clone(text), '\n')
}

// syntaxPlace reads "line N, column M" from a parser error.
func syntaxPlace(err error) (line, column int) {
	at := strings.Index(err.Error(), "line ")
	if at < 0 {
		return 1, 1
	}
	if _, scanErr := fmt.Sscanf(err.Error()[at:], "line %d, column %d", &line, &column); scanErr != nil {
		return 1, 1
	}
	return line, column
}

// Decode checks the document against the type of out, a pointer to a struct,
// and fills it in. The error is of type Problems.
func (d *Document) Decode(out any) error {
	c := checker{doc: d}
	c.check(&d.value, reflect.TypeOf(out).Elem(), "")
	if len(c.problems) > 0 {
		return c.problems
	}
	plain := d.value.Clone()
	plain.Standardize()
	if err := json.Unmarshal(plain.Pack(), out); err != nil {
		return Problems{{File: d.file, Line: 1, Column: 1, Message: err.Error()}}
	}
	return nil
}

// Decode parses and decodes a text.
func Decode(file string, text []byte, out any) error {
	d, err := Parse(file, text)
	if err != nil {
		return err
	}
	return d.Decode(out)
}

// Problem returns a problem at the place of the path, or of its nearest
// ancestor that stands in the text.
func (d *Document) Problem(path []string, format string, args ...any) Problem {
	value := &d.value
	for _, name := range path {
		child := childOf(value, name)
		if child == nil {
			break
		}
		value = child
	}
	return d.at(value.StartOffset, strings.Join(path, "."), fmt.Sprintf(format, args...))
}

func childOf(value *hujson.Value, name string) *hujson.Value {
	switch composite := value.Value.(type) {
	case *hujson.Object:
		for i := range composite.Members {
			if memberName(&composite.Members[i]) == name {
				return &composite.Members[i].Value
			}
		}
	case *hujson.Array:
		index, err := strconv.Atoi(name)
		if err == nil && index >= 0 && index < len(composite.Elements) {
			return &composite.Elements[index]
		}
	}
	return nil
}

func memberName(m *hujson.ObjectMember) string {
	if literal, ok := m.Name.Value.(hujson.Literal); ok {
		return literal.String()
	}
	return ""
}

func (d *Document) at(offset int, path, message string) Problem {
	before := d.text[:min(offset, len(d.text))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := offset - bytes.LastIndexByte(before, '\n')
	return Problem{File: d.file, Line: line, Column: column, Path: path, Message: message}
}
