// Package answers parses and checks the answer files of the questionnaire in which teams describe
// their services, and generates the configuration of each service from its file.
package answers

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// Answers is a parsed answer file.
type Answers struct {
	// File is the file name used in faults.
	File string
	// Service holds the values as written in the file. Use Generate to get the configuration.
	Service snapshot.Service

	// lines maps each section and key to its line; faulty contains those with a reported fault.
	lines  map[position]int
	faulty map[position]bool
}

// position identifies a key of the [service] section, if kind is empty, or of a [kind] section.
// With an empty key it identifies the section itself.
type position struct{ kind, key string }

// line returns the line number of p, starting at 1. If the key is missing, it returns the line of
// its section.
func (a *Answers) line(p position) int {
	return cmp.Or(a.lines[p], a.lines[position{kind: p.kind}], a.lines[position{}], 1)
}

// Fault is an error in an answer file.
type Fault struct {
	File string
	// Line is the line number, starting at 1.
	Line int
	// Reason describes the error, Expected the accepted input.
	Reason   string
	Expected string
	// Nearest is the valid word most similar to the rejected one, or empty if none is similar.
	Nearest string
}

// String formats the fault as one line of text.
func (f Fault) String() string {
	text := fmt.Sprintf("%s:%d: %s; expected %s", f.File, f.Line, f.Reason, f.Expected)
	if f.Nearest != "" {
		text += fmt.Sprintf("; did you mean %q?", f.Nearest)
	}
	return text
}

// Faults holds all faults of one or more files, sorted by file and line.
type Faults []Fault

// Error implements error. The text has one line per fault. Functions that return an error must use
// Err, because an empty Faults value is a non-nil error.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns f as an error, or nil if there are no faults.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Sort sorts the faults by file and line.
func (f Faults) Sort() {
	slices.SortStableFunc(f, func(a, b Fault) int {
		return cmp.Or(strings.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
}
