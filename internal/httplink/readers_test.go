package httplink

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// responseReaders are the parts of fasthttp and net/http that read responses without the checks
// of this package.
var responseReaders = []string{
	"Client", "HostClient", "PipelineClient", "LBClient", "DefaultClient", "Transport", "DefaultTransport", "ReadResponse",
	"Do", "DoTimeout", "DoDeadline", "DoRedirects", "Get", "GetTimeout", "GetDeadline", "Head", "Post", "PostForm",
}

// The operators' tool, experiments and stand-ins decide nothing about other callers' requests.
var mayReadResponses = []string{"internal/cli", "internal/experiment", "internal/standin", "internal/httplink"}

// A client of a library was the way by which answers that only looked whole came in.
func TestDaemonsReadResponsesHereOnly(t *testing.T) {
	const root = "../.."
	files := 0
	for _, folder := range []string{"cmd", "internal", "platform"} {
		must.NoError(t, filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			place, err := filepath.Rel(root, path)
			must.NoError(t, err)
			if !slices.ContainsFunc(mayReadResponses, func(allowed string) bool { return strings.HasPrefix(place, allowed+"/") }) {
				files++
				must.SliceEmpty(t, readersIn(t, path), must.Sprint(place))
			}
			return nil
		}))
	}
	must.Positive(t, files)
	must.SliceNotEmpty(t, readersIn(t, filepath.Join(root, "internal/cli/client.go")))
}

// readersIn returns the responseReaders that a file uses.
func readersIn(t *testing.T, path string) (found []string) {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	must.NoError(t, err)
	ast.Inspect(file, func(node ast.Node) bool {
		selector, ok := node.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		of, ok := selector.X.(*ast.Ident)
		if ok && (of.Name == "fasthttp" || of.Name == "http") && slices.Contains(responseReaders, selector.Sel.Name) {
			found = append(found, of.Name+"."+selector.Sel.Name)
		}
		return true
	})
	return found
}
