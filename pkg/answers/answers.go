// Package answers reads the answer files in which teams describe their services, checks them and
// generates the configuration of a service from them.
package answers

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// Answers holds the answers of one file.
type Answers struct {
	// File is the name under which faults are reported.
	File string
	// Service holds the values as given. Use Generate to get the configuration.
	Service snapshot.Service

	// lines holds the line of each section and key, faulty those that already have a fault.
	lines  map[position]int
	faulty map[position]bool
}

// position names a key of the [service] section, where kind is empty, or of a [kind] section. An
// empty key stands for the section itself.
type position struct{ kind, key string }

// line returns the line of p, or of its section if the key is absent, counted from 1.
func (a *Answers) line(p position) int {
	return cmp.Or(a.lines[p], a.lines[position{kind: p.kind}], a.lines[position{}], 1)
}

// Fault is one error in an answer file.
type Fault struct {
	File string
	// Line is counted from 1.
	Line int
	// Reason states what is wrong, Expected what is accepted.
	Reason   string
	Expected string
	// Nearest is the valid word that is most similar to the one found; it may be empty.
	Nearest string
}

// String returns the fault on one line.
func (f Fault) String() string {
	text := fmt.Sprintf("%s:%d: %s; expected %s", f.File, f.Line, f.Reason, f.Expected)
	if f.Nearest != "" {
		text += fmt.Sprintf("; did you mean %q?", f.Nearest)
	}
	return text
}

// Faults holds all faults of one or several files, in order of file and line.
type Faults []Fault

// Error implements error, a line for each fault. Use Err where an error is returned, because empty
// Faults are no error.
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

// Sort brings the faults in order of file and line.
func (f Faults) Sort() {
	slices.SortStableFunc(f, func(a, b Fault) int {
		return cmp.Or(strings.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
}
