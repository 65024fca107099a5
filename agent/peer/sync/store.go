package sync

import (
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/pkg/distribution"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// historyLength is the number of snapshots kept as bases of deltas. At 0.27 changes/s they cover
// 30 s, more than one long poll. Snapshots share their unchanged services.
const historyLength = 8

// Codec builds snapshots and deltas; pkg/snapshot provides the implementation.
type Codec interface {
	// Apply verifies and validates the result of d on base as a whole. base is nil for a complete
	// delta.
	Apply(base *snapshot.Snapshot, d *snapshot.Delta) (*snapshot.Snapshot, error)
	// Delta returns the changes from one snapshot to another, complete if from is nil.
	Delta(from, to *snapshot.Snapshot) (*snapshot.Delta, error)
	// Object returns the encoding of a service in s, nil if s lacks it.
	Object(s *snapshot.Snapshot, service string) []byte
}

// ErrBaseMismatch is returned for a delta whose base is not in force, or whose patches have a base
// that is not among the recent versions.
var ErrBaseMismatch = errors.New("delta is based on another version")

// Store holds the snapshot in force. It is safe for concurrent use.
type Store struct {
	codec   Codec
	current atomic.Pointer[snapshot.Snapshot]
	// mu guards history and changed, and serializes Apply.
	mu      sync.Mutex
	history []*snapshot.Snapshot
	changed chan struct{}
}

// NewStore returns a Store without a snapshot.
func NewStore(codec Codec) *Store { return &Store{codec: codec, changed: make(chan struct{})} }

// Load returns the snapshot in force, nil if there is none yet.
func (s *Store) Load() *snapshot.Snapshot { return s.current.Load() }

// Version returns the version in force, 0 if there is none yet.
func (s *Store) Version() snapshot.Version {
	if current := s.Load(); current != nil {
		return current.Version
	}
	return 0
}

// Changed returns a channel that is closed when the next version is put in force.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Apply puts the result of d in force as a whole, or returns the reason for its refusal and keeps
// the current snapshot. It returns nil without an error if d is not above the version in force, and
// ErrBaseMismatch if a complete delta is needed.
func (s *Store) Apply(d *snapshot.Delta) (*snapshot.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch distribution.Decide(s.Version(), d) {
	case distribution.Ignore:
		return nil, nil
	case distribution.PullFull:
		return nil, ErrBaseMismatch
	}
	var base *snapshot.Snapshot
	if d.Base != 0 {
		base = s.Load()
	}
	next, err := s.codec.Apply(base, d)
	if err != nil {
		return nil, err
	}
	if next.Version != d.Version {
		return nil, errors.Errorf("delta to version %d resulted in version %d", d.Version, next.Version)
	}
	s.setCurrent(next)
	return next, nil
}

// setCurrent puts next in force and adds it to the history. The caller must hold mu.
func (s *Store) setCurrent(next *snapshot.Snapshot) {
	s.current.Store(next)
	s.history = append(s.history, next)
	if len(s.history) > historyLength {
		s.history = append([]*snapshot.Snapshot(nil), s.history[1:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// DeltaFrom returns the delta from version have to the one in force, nil if that is not higher. The
// delta is complete if have is not among the recent versions.
func (s *Store) DeltaFrom(have snapshot.Version) (*snapshot.Delta, error) {
	current := s.Load()
	if current == nil || current.Version <= have {
		return nil, nil
	}
	return s.codec.Delta(s.recent(have), current)
}

// CompleteDelta returns the complete delta of the version in force, nil without one.
func (s *Store) CompleteDelta() (*snapshot.Delta, error) {
	current := s.Load()
	if current == nil {
		return nil, nil
	}
	return s.codec.Delta(nil, current)
}

// recent returns the snapshot with the given version from the history, nil if there is none.
func (s *Store) recent(v snapshot.Version) *snapshot.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, old := range s.history {
		if old.Version == v {
			return old
		}
	}
	return nil
}
