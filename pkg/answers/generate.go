package answers

import (
	"slices"
	"strings"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// Generate returns the configuration described by a. It is deterministic and independent of the
// order of sections and list items in the file, so that only a change of content gives a new hash.
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

// sorted returns a sorted copy, nil for an empty list, so that both encode alike.
func sorted(list []string) []string {
	if len(list) == 0 {
		return nil
	}
	return slices.Sorted(slices.Values(list))
}
