package answers

import (
	"slices"
	"strings"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// Generate returns the configuration of the service that a describes. The result does not depend on
// the order of sections and list items in the file, so that its hash changes only if the content
// does.
func Generate(a *Answers) *snapshot.Service {
	s := a.Service
	s.DependsOn = sorted(s.DependsOn)
	s.Kinds = slices.Clone(s.Kinds)
	for i := range s.Kinds {
		s.Kinds[i].Calls = sorted(s.Kinds[i].Calls)
	}
	slices.SortStableFunc(s.Kinds, func(x, y snapshot.Kind) int { return strings.Compare(x.Name, y.Name) })
	return &s
}

// sorted returns a sorted copy of list. It returns nil for an empty list, so that nil and empty
// lists have the same encoding.
func sorted(list []string) []string {
	if len(list) == 0 {
		return nil
	}
	return slices.Sorted(slices.Values(list))
}
