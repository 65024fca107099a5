package answers

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

const finderFile = `[service]
name = finder
team = search
capacity-slots = 12
capacity-connections = 100
servers = 5

[kind search]
match = GET /search
rank = 2
idempotent = yes
deadline = 600ms
expected-rate = 700/s
service-time = 25ms
objective = 99.5%
`

// pagesFile is the example of the design document.
const pagesFile = `[service]
name = pages
team = wiki
capacity-slots = 12          ; slots a server
capacity-connections = 100   ; connections a server accepts
servers = 4
depends-on = finder

[kind save]
match = POST /pages/
rank = 1
idempotent = no              ; required, no default
deadline = 800ms
expected-rate = 40/s
service-time = 5ms
worth = 10
objective = 99.9%
calls = finder/search
`

// check parses and checks the given files, named file-0.ini, file-1.ini and so on.
func check(files ...string) Faults {
	var parsed []*Answers
	var faults Faults
	for i, text := range files {
		a, found := Parse(fmt.Sprintf("file-%d.ini", i), []byte(text))
		parsed, faults = append(parsed, a), append(faults, found...)
	}
	return append(faults, Check(parsed)...)
}

// Guards against a value that is stored in the wrong unit or field.
func TestParseReadsEveryAnswer(t *testing.T) {
	is := is.New(t)
	is.Equal(check(pagesFile, finderFile).Error(), "")
	a, _ := Parse("pages.ini", []byte("\ufeff"+strings.ReplaceAll(pagesFile, "\n", "\r\n")))
	is.Equal(*Generate(a), snapshot.Service{
		Name: "pages", Team: "wiki", Slots: 12, Connections: 100, Servers: 4, DependsOn: []string{"finder"},
		Kinds: []snapshot.Kind{{
			Name: "save", Method: "POST", PathPrefix: "/pages/", Rank: 1, Deadline: 800 * time.Millisecond, ExpectedRate: 40,
			ServiceTime: 5 * time.Millisecond, Worth: 10, Objective: 0.999, Calls: []string{"finder/search"},
		}},
	})
}

// Guards against examples or a template that do not pass the check.
func TestExamplesAndTemplateAreValid(t *testing.T) {
	is := is.New(t)
	for _, user := range []string{"association", "nilufer"} {
		names, err := filepath.Glob(filepath.Join("..", "..", "examples", user, "*.ini"))
		is.NoErr(err)
		is.Equal(len(names), 2)
		var files []string
		for _, name := range names {
			data, err := os.ReadFile(name)
			is.NoErr(err)
			files = append(files, string(data))
		}
		is.Equal(check(files...).Error(), "")
	}
	is.Equal(check(Template("shop")).Error(), "")
}

// Guards against an error in an answer file that is not reported or is reported with the wrong line
// or without the nearest valid word.
func TestCheckReportsEachFault(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{"rank = 1", "rnak = 1", `file-0.ini:11: unknown key "rnak"; expected one of match, rank, idempotent`},
		{"rank = 1", "rnak = 1", `did you mean "rank"?`},
		{"rank = 1\n", "", `file-0.ini:9: key "rank" is missing; expected a whole number`},
		{"idempotent = no", "", `file-0.ini:9: key "idempotent" is missing; expected yes or no`},
		{"rank = 1", "rank =", `file-0.ini:11: key "rank" has no value`},
		{"rank = 1", "rank = 0", `file-0.ini:11: kind save: key "rank": 0 is out of range; expected a whole number from 1 to 9`},
		{"= no  ", "= noo", `file-0.ini:12: key "idempotent": "noo" is not valid; expected yes or no; did you mean "no"?`},
		{"800ms", "800", `file-0.ini:13: key "deadline": "800" is not valid; expected a duration with a unit`},
		{"800ms", "0", `file-0.ini:13: key "deadline": "0" is not valid; expected a duration with a unit`},
		{"800ms", "800msec", `did you mean "ms"?`},
		{"800ms", "10ms", `file-0.ini:18: kind save: key "calls": "finder/search" has 600ms, but a deadline of 10ms leaves only 6ms`},
		{"800ms", "-5ms", `file-0.ini:13: kind save: key "deadline": -5ms is out of range`},
		{"40/s", "40", `file-0.ini:14: key "expected-rate": "40" is not valid; expected a rate with a unit`},
		{"40/s", "40/sec", `did you mean "s"?`},
		{"40/s", "10000/s", `file-0.ini:6: key "servers": the expected rates occupy 50.0 slots, but 4 servers with 12 slots have 48`},
		{"99.9%", "99.9", `file-0.ini:17: key "objective": "99.9" is not valid; expected a share in percent`},
		{"99.9%", "100%", `file-0.ini:17: kind save: key "objective": 100% is out of range`},
		{"POST /pages/", "POTS /pages/", `file-0.ini:10: kind save: key "match": no request has the method "POTS"; expected one of`},
		{"POST /pages/", "POTS /pages/", `did you mean "POST"?`},
		{"POST /pages/", "pages", `file-0.ini:10: key "match": "pages" is not valid; expected a method and a path prefix`},
		{"= finder\n", "= findr\n", `file-0.ini:7: key "depends-on": there is no service "findr"; expected names of services; did you mean "finder"?`},
		{"finder/search", "finder/serach", `file-0.ini:18: kind save: key "calls": there is no kind "finder/serach"; expected existing kinds of other services; did you mean "finder/search"?`},
		{"[kind save]", "[knid save]", `file-0.ini:9: unknown section [knid save]; expected [service] or [kind NAME]; did you mean "kind"?`},
		{"worth = 10", "rank = 2", `file-0.ini:16: key "rank" is already on line 11`},
		{"\n[kind save]", "[kind save]\n[kind save]", `file-0.ini:9: section [kind save] is already on line 8`},
		{"rank = 1", "nothing", `file-0.ini:11: the line cannot be read`},
		{"[service]", "x = y", `file-0.ini:1: there is no section [service]`},
		{"name = pages", "name = finder", `file-1.ini:2: service "finder" is also described in file-0.ini`},
	} {
		t.Run(c.want, func(t *testing.T) {
			is := is.New(t)
			got := check(strings.Replace(pagesFile, c.old, c.new, 1), finderFile).Error()
			if !strings.Contains(got, c.want) {
				t.Log(got)
			}
			is.True(strings.Contains(got, c.want)) // the fault is not reported
		})
	}
}

// Guards against a check that stops at the first fault or reports the same fault under two rules.
func TestCheckReportsAllFaultsOnce(t *testing.T) {
	is := is.New(t)
	text := strings.NewReplacer("rank = 1", "rank = one", "= 800ms", "= soon", "= 40/s", "= 0/s", "servers = 4", "servers = x").Replace(pagesFile)
	faults := check(text, finderFile)
	is.Equal(len(faults), 4)
	cycle := strings.Replace(finderFile, "servers = 5", "servers = 5\ndepends-on = pages", 1)
	is.True(strings.Contains(check(pagesFile, cycle).Error(), "dependency cycle finder -> pages -> finder"))
}

// Guards against two daemons or operators generating different encodings from the same answers.
func TestGenerateIsDeterministic(t *testing.T) {
	head, kinds, _ := strings.Cut(Template("shop"), "[kind read]")
	read, write, _ := strings.Cut("[kind read]"+kinds, "[kind write]")
	sections := []string{head + "depends-on = a, b, c\n", read, "[kind write]" + write, strings.ReplaceAll(pagesFile[strings.Index(pagesFile, "[kind"):], "finder/search", "b/x, a/y")}
	hash := func(t *rapid.T, text string) snapshot.Hash {
		a, faults := Parse("shop.ini", []byte(text))
		if len(faults) > 0 {
			t.Fatal(faults)
		}
		_, h, err := snapshot.Encode(Generate(a))
		if err != nil {
			t.Fatal(err)
		}
		return h
	}
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.Permutation(sections).Draw(t, "order"), "\n")
		lists := rapid.SampledFrom([]string{"a, b, c", "c,b,a", "b, c, a"}).Draw(t, "list")
		if hash(t, strings.Join(sections, "\n")) != hash(t, strings.Replace(text, "a, b, c", lists, 1)) {
			t.Fatal("the order of the answers changes the hash")
		}
	})
}

// Guards against a file that crashes the command or the administration API, and against answers
// that pass the check but do not give a valid configuration.
func FuzzParse(f *testing.F) {
	f.Add([]byte(pagesFile))
	f.Add([]byte(finderFile))
	f.Add([]byte(Template("shop")))
	f.Add([]byte("[service]\nname = \"\"\"\n`\n[kind ]\n=:\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, faults := Parse("fuzz.ini", data)
		lines := strings.Count(string(data), "\n") + 1
		for _, fault := range faults {
			if fault.Line < 1 || fault.Line > lines || fault.Expected == "" {
				t.Fatalf("fault without a valid line or expected input: %v", fault)
			}
		}
		if more := Check([]*Answers{a}); len(more)+len(faults) > 0 {
			return
		}
		if _, err := (*snapshot.Snapshot)(nil).With(1, Generate(a), 1); err != nil {
			t.Fatalf("answers that passed the check were rejected: %v", err)
		}
	})
}
