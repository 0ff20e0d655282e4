package reason_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"strconv"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/chicorylug/chicorylug/internal/reason"
)

// declaredCodes returns the values of all constants of type Code in reason.go.
func declaredCodes(t *testing.T) map[string]bool {
	file, err := parser.ParseFile(token.NewFileSet(), "reason.go", nil, 0)
	must.NoError(t, err)
	codes := map[string]bool{}
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if kind, ok := spec.Type.(*ast.Ident); ok && kind.Name == "Code" {
			code, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
			must.NoError(t, err)
			codes[code] = true
		}
		return true
	})
	return codes
}

// The operators' table of reasons must contain every code, with the status that callers
// get.
func TestTableOfReasonsIsComplete(t *testing.T) {
	page, err := os.ReadFile("../../docs/operations/reasons.md")
	must.NoError(t, err)
	row := regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| ([0-9]{3}) \\| ([a-z_, ]+) \\| .+ \\| .+ \\|$")
	documented := map[string]bool{}
	for _, cells := range row.FindAllStringSubmatch(string(page), -1) {
		documented[cells[1]] = true
		must.Eq(t, strconv.Itoa(reason.Code(cells[1]).Status()), cells[2], must.Sprint(cells[1]))
	}
	must.Eq(t, declaredCodes(t), documented)
}

func TestParseRejectsMissingReasonAndUnknownOutcome(t *testing.T) {
	for _, body := range []string{``, `{}`, `{"reason":"queue_full"}`, `{"outcome":"not_run"}`, `{"reason":"queue_full","outcome":"ran"}`} {
		_, err := reason.Parse([]byte(body))
		must.Error(t, err, must.Sprint(body))
	}
}

func FuzzParse(f *testing.F) {
	f.Add(reason.New(reason.QueueFull, "queue", "s1", "full").JSON())
	f.Add([]byte(`{"reason":"x","outcome":"unknown","retry_after_ms":-1}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		first, err := reason.Parse(body)
		if err != nil {
			return
		}
		again, err := reason.Parse(first.JSON())
		must.NoError(t, err)
		must.Eq(t, first.Code, again.Code)
		must.Eq(t, first.Outcome, again.Outcome)
	})
}
