package operator

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const protocolPage = "../../docs/protocol.md"

// Guards against paths and error codes that are in the code but not in docs/protocol.md, or in the
// page but not in the code.
func TestProtocolPage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(protocolPage)
	is.NoErr(err)
	_, chapter, found := strings.Cut(string(page), "\n## Administration API\n")
	is.True(found) // the page has no such heading
	paths := regexp.MustCompile("(?m)^\\| `(?:GET|POST) ([^?` ]+)")
	is.Equal(documented(chapter, paths), declared(t, "Path"))
	codes := regexp.MustCompile("(?m)^\\| [0-9, ]+ \\| `([a-z-]+)`")
	_, errorsPart, found := strings.Cut(chapter, "\nErrors have the body")
	is.True(found) // the page has no table of errors
	is.Equal(documented(errorsPart, codes), declared(t, "Code"))
}

// documented returns the distinct first submatches of pattern in chapter, sorted.
func documented(chapter string, pattern *regexp.Regexp) []string {
	var words []string
	for _, match := range pattern.FindAllStringSubmatch(chapter, -1) {
		words = append(words, match[1])
	}
	return slices.Compact(slices.Sorted(slices.Values(words)))
}

// declared returns the sorted values of the constants in messages.go whose names have the prefix.
func declared(t *testing.T, prefix string) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "messages.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var values []string
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 || !strings.HasPrefix(spec.Names[0].Name, prefix) {
			return true
		}
		literal, ok := spec.Values[0].(*ast.BasicLit)
		if !ok {
			t.Fatalf("%s is not a string literal", spec.Names[0].Name)
		}
		value, err := strconv.Unquote(literal.Value)
		if err != nil {
			t.Fatal(err)
		}
		values = append(values, value)
		return true
	})
	slices.Sort(values)
	return values
}
