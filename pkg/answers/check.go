package answers

import (
	"fmt"
	"maps"
	"slices"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// Check applies the rules on values and across services to all answers together and returns every
// fault. Keys that already had a fault in Parse are not reported again.
func Check(all []*Answers) Faults {
	c := &checker{services: map[string]*snapshot.Service{}, files: map[string]*Answers{}}
	for _, a := range all {
		c.addFile(a)
	}
	for _, problem := range snapshot.Check(c.services) {
		c.report(problem)
	}
	c.faults.Sort()
	return c.faults
}

type checker struct {
	services map[string]*snapshot.Service
	files    map[string]*Answers
	faults   Faults
}

// addFile enters the service under its name. A service whose name is faulty is checked under the
// name of its file, which no other service can refer to.
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

func (c *checker) report(problem snapshot.Problem) {
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
		fault.Nearest = nearest(problem.Unknown, c.words(problem))
	}
	c.faults = append(c.faults, fault)
}

// words returns the valid words for the key of a problem. A service is never proposed to itself.
func (c *checker) words(problem snapshot.Problem) []string {
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
