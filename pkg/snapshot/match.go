package snapshot

import (
	"cmp"
	"slices"
	"strings"
)

// kindTable maps the requests of one service to kinds. Successive snapshots share it as long as the
// service is unchanged.
type kindTable struct {
	service *Service
	// kinds is sorted by precedence, so that the first match has the longest prefix.
	kinds []*Kind
}

func newKindTable(s *Service) *kindTable {
	t := &kindTable{service: s, kinds: make([]*Kind, len(s.Kinds))}
	for i := range s.Kinds {
		t.kinds[i] = &s.Kinds[i]
	}
	slices.SortStableFunc(t.kinds, comparePrecedence)
	return t
}

// comparePrecedence orders longer prefixes first and, for equal prefixes, a kind with a method
// before the kind that matches all methods.
func comparePrecedence(a, b *Kind) int {
	return cmp.Or(
		cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)),
		strings.Compare(a.PathPrefix, b.PathPrefix),
		strings.Compare(b.Method, a.Method),
	)
}

func (t *kindTable) match(method, path string) *Kind {
	for _, k := range t.kinds {
		if (k.Method == "" || k.Method == method) && strings.HasPrefix(path, k.PathPrefix) {
			return k
		}
	}
	return nil
}

// Match returns the service and kind of a request. Among the kinds that match the method, it
// selects the longest prefix of path, which is the decoded path without the query. If the service
// exists but no kind matches, Match returns the service, a nil kind and false. It does not allocate
// and accepts a nil receiver.
func (s *Snapshot) Match(service, method, path string) (*Service, *Kind, bool) {
	if s == nil {
		return nil, nil, false
	}
	t, ok := s.kindTables[service]
	if !ok {
		return nil, nil, false
	}
	k := t.match(method, path)
	return t.service, k, k != nil
}

// Kind returns the kind with the given name, or nil if there is none.
func (s *Service) Kind(name string) *Kind {
	for i := range s.Kinds {
		if s.Kinds[i].Name == name {
			return &s.Kinds[i]
		}
	}
	return nil
}
