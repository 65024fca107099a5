package answers

import (
	"fmt"
	"maps"
	"slices"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// Check validates the values of all answers and the references between their services, and returns
// every fault. It does not report keys again for which Parse returned a fault.
func Check(all []*Answers) Faults {
	c := &checker{services: map[string]*snapshot.Service{}, files: map[string]*Answers{}}
	for _, a := range all {
		c.addFile(a)
	}
	for _, problem := range snapshot.Check(c.services) {
		c.addProblem(problem)
	}
	c.faults.Sort()
	return c.faults
}

type checker struct {
	services map[string]*snapshot.Service
	files    map[string]*Answers
	faults   Faults
}

// addFile adds the service of a file. If its name is invalid, a name derived from the file name
// replaces it; that name contains a space, so no other service can refer to it.
func (c *checker) addFile(a *Answers) {
	s := Generate(a)
	name := position{key: snapshot.KeyName}
	if a.faulty[name] {
		s.Name = "file " + a.File
	}
	if other, ok := c.files[s.Name]; ok {
		c.faults = append(c.faults, Fault{File: a.File, Line: a.line(name),
			Reason: fmt.Sprintf("service %q is also described in %s", s.Name, other.File), Expected: "one file for each service"})
		return
	}
	c.services[s.Name], c.files[s.Name] = s, a
}

func (c *checker) addProblem(problem snapshot.Problem) {
	a := c.files[problem.Service]
	at := position{problem.Kind, problem.Key}
	if a.faulty[at] {
		return
	}
	fault := Fault{File: a.File, Line: a.line(at), Expected: problem.Expected}
	fault.Reason = fmt.Sprintf("key %q: %s", problem.Key, problem.Reason)
	if problem.Kind != "" {
		fault.Reason = fmt.Sprintf("kind %s: %s", problem.Kind, fault.Reason)
	}
	if problem.Unknown != "" {
		fault.Nearest = nearest(problem.Unknown, c.candidates(problem))
	}
	c.faults = append(c.faults, fault)
}

// candidates returns the valid words for the key of a problem. They exclude the service itself,
// which must not refer to itself.
func (c *checker) candidates(problem snapshot.Problem) []string {
	if problem.Key == snapshot.KeyMatch {
		return snapshot.Methods
	}
	var words []string
	for _, name := range slices.Sorted(maps.Keys(c.services)) {
		switch {
		case name == problem.Service:
		case problem.Key == snapshot.KeyDependsOn:
			words = append(words, name)
		default:
			for _, k := range c.services[name].Kinds {
				words = append(words, name+"/"+k.Name)
			}
		}
	}
	return words
}
