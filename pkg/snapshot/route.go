package snapshot

import (
	"cmp"
	"slices"
	"strings"
)

// routing is the routing table of one service. Snapshots share it while the service is unchanged.
type routing struct {
	service *Service
	// kinds is in order of precedence: the first match is the longest prefix.
	kinds []*Kind
}

func newRouting(s *Service) *routing {
	r := &routing{service: s, kinds: make([]*Kind, len(s.Kinds))}
	for i := range s.Kinds {
		r.kinds[i] = &s.Kinds[i]
	}
	slices.SortStableFunc(r.kinds, comparePrecedence)
	return r
}

// comparePrecedence puts longer prefixes first and, at equal prefixes, a kind with a method before
// the kind for all methods.
func comparePrecedence(a, b *Kind) int {
	return cmp.Or(
		cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)),
		strings.Compare(a.PathPrefix, b.PathPrefix),
		strings.Compare(b.Method, a.Method),
	)
}

func (r *routing) match(method, path string) *Kind {
	for _, k := range r.kinds {
		if (k.Method == "" || k.Method == method) && strings.HasPrefix(path, k.PathPrefix) {
			return k
		}
	}
	return nil
}

// Match returns the kind of a request to service: of the kinds whose method fits, the one with the
// longest prefix of path. Path is the decoded path without the query. If only the service is known,
// it is returned with a nil kind and false. Match does not allocate and accepts a nil snapshot.
func (s *Snapshot) Match(service, method, path string) (*Service, *Kind, bool) {
	if s == nil {
		return nil, nil, false
	}
	r, ok := s.routes[service]
	if !ok {
		return nil, nil, false
	}
	k := r.match(method, path)
	return r.service, k, k != nil
}

// Kind returns the kind with the given name, or nil.
func (s *Service) Kind(name string) *Kind {
	for i := range s.Kinds {
		if s.Kinds[i].Name == name {
			return &s.Kinds[i]
		}
	}
	return nil
}
