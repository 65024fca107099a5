package event

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	cataloguePage = "../../docs/events.md"
	rowPrefix     = "| "
)

// entry is one event as documented on the page or declared in the sources.
type entry struct{ number, level, text string }

// Guards against events that docs/events.md does not list, describes differently or lists without a
// declaration, and against two events with one number, which would make an alert ambiguous.
func TestCatalogue(t *testing.T) {
	is := is.New(t)
	documented, declared := documentedEvents(t), declaredEvents(t)
	is.True(len(declared) > 0)
	for number, e := range declared {
		is.Equal(documented[number], e) // the page differs from the sources or does not list the event
	}
	for number, e := range documented {
		is.Equal(declared[number], e) // the page lists an event that is not declared
	}
}

// documentedEvents reads the rows of the page and checks that each has a meaning and an action.
func documentedEvents(t *testing.T) map[string]entry {
	t.Helper()
	page, err := os.ReadFile(cataloguePage)
	if err != nil {
		t.Fatal(err)
	}
	found := map[string]entry{}
	for line := range strings.Lines(string(page)) {
		cells := strings.Split(strings.TrimSpace(line), "|")
		if !strings.HasPrefix(line, rowPrefix) || len(cells) < 2 {
			continue
		}
		for n := range cells {
			cells[n] = strings.TrimSpace(cells[n])
		}
		if _, err := strconv.Atoi(cells[1]); err != nil {
			continue // the header of a table
		}
		const cellsOfRow = 7 // five, and the empty text before the first bar and after the last one
		if len(cells) != cellsOfRow || cells[4] == "" || cells[5] == "" {
			t.Fatalf("row needs number, level, text, meaning and action: %s", line)
		}
		add(t, found, entry{cells[1], cells[2], cells[3]})
	}
	return found
}

// declaredEvents reads the literals of type Event in the sources of this package.
func declaredEvents(t *testing.T) map[string]entry {
	t.Helper()
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	found := map[string]entry{}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(n ast.Node) bool {
			literal, ok := n.(*ast.CompositeLit)
			if !ok {
				return true
			}
			if kind, ok := literal.Type.(*ast.Ident); ok && kind.Name == "Event" {
				add(t, found, declaredEntry(t, literal))
			}
			return true
		})
	}
	return found
}

func declaredEntry(t *testing.T, literal *ast.CompositeLit) entry {
	t.Helper()
	const fields = 3
	if len(literal.Elts) != fields {
		t.Fatalf("an event has %d values instead of number, level and text", len(literal.Elts))
	}
	number, isNumber := literal.Elts[0].(*ast.BasicLit)
	level, isLevel := literal.Elts[1].(*ast.SelectorExpr)
	text, isText := literal.Elts[2].(*ast.BasicLit)
	if !isNumber || !isLevel || !isText {
		t.Fatal("an event is not written as {number, zapcore.Level, text}")
	}
	unquoted, err := strconv.Unquote(text.Value)
	if err != nil {
		t.Fatal(err)
	}
	return entry{number.Value, strings.ToLower(strings.TrimSuffix(level.Sel.Name, "Level")), unquoted}
}

func add(t *testing.T, to map[string]entry, e entry) {
	t.Helper()
	if other, used := to[e.number]; used {
		t.Errorf("number %s is used twice: %q and %q", e.number, other.text, e.text)
	}
	to[e.number] = e
}
