package sync

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// cachedDelta is an encoded delta whose objects are patches against the same services in the base,
// as a revision usually differs in a few bytes. A complete delta has base 0, in which every service
// is empty.
type cachedDelta struct {
	base, version snapshot.Version
	data          []byte
}

// patchDelta returns the encoded delta from base to the version in force; base is nil
// for a complete one. The children of a daemon request the same delta at the same time, so the last
// one is cached: a compressor takes 0.8 MB.
func (s *Server) patchDelta(base *snapshot.Snapshot) ([]byte, error) {
	s.patchMu.Lock()
	defer s.patchMu.Unlock()
	current := s.store.Load()
	var from snapshot.Version
	if base != nil {
		from = base.Version
	}
	if s.lastDelta.base == from && s.lastDelta.version == current.Version {
		return s.lastDelta.data, nil
	}
	d, err := s.store.codec.Delta(base, current)
	if err != nil {
		return nil, err
	}
	if err := s.store.encodePatches(base, d); err != nil {
		return nil, err
	}
	data, err := encodeDelta(d)
	if err == nil {
		s.lastDelta = cachedDelta{from, current.Version, data}
	}
	return data, err
}

// patch encodes an object as a change to the same service in the base. The first Prefix and the
// last Suffix bytes are those of the base. Middle holds the bytes in between, compressed with the
// middle of the base as dictionary. A service can have thousands of routes, and a version may
// change a few of them in different places, so the compression window spans the whole middle.
type patch struct {
	_      struct{} `cbor:",toarray"`
	Prefix int
	Suffix int
	Middle []byte
}

const (
	// patchWindow bounds the compression window over the base and the object together.
	patchWindow = 4 << 20
	// minDictionary is the size below which the set-up of a dictionary costs more than it saves.
	minDictionary = 64
	// patchDictionary is the ID of the dictionary in a patch.
	patchDictionary = 1
)

// encodePatches replaces the objects of d by patches against base, which must be the base of d.
func (s *Store) encodePatches(base *snapshot.Snapshot, d *snapshot.Delta) error {
	for i, e := range d.Changed {
		data, err := encodePatch(s.objectOf(base, e.Service), d.Objects[i])
		if err != nil {
			return errors.Wrap(err, "encode a patch")
		}
		d.Objects[i] = data
	}
	for i, e := range d.Accounts {
		data, err := encodePatch(base.AccountObject(e.Group), d.AccountObjects[i])
		if err != nil {
			return errors.Wrap(err, "encode a patch")
		}
		d.AccountObjects[i] = data
	}
	return nil
}

// objectOf returns the encoding of service in base, nil without a base.
func (s *Store) objectOf(base *snapshot.Snapshot, service string) []byte {
	if base == nil {
		return nil
	}
	return s.codec.Object(base, service)
}

func encodePatch(base, object []byte) ([]byte, error) {
	p := patch{Prefix: commonPrefix(base, object)}
	p.Suffix = commonSuffix(base[p.Prefix:], object[p.Prefix:])
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithEncoderCRC(false), zstd.WithWindowSize(windowFor(len(base) + len(object))),
	}
	if dictionary := base[p.Prefix : len(base)-p.Suffix]; len(dictionary) >= minDictionary {
		options = append(options, zstd.WithEncoderDictRaw(patchDictionary, dictionary))
	}
	w, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, err
	}
	p.Middle = w.EncodeAll(object[p.Prefix:len(object)-p.Suffix], nil)
	return cbor.Marshal(p)
}

// windowFor returns the smallest window that spans size bytes, a power of two within the bounds of
// zstd and patchWindow.
func windowFor(size int) int {
	window := zstd.MinWindowSize
	for window < size && window < patchWindow {
		window *= 2
	}
	return window
}

func commonPrefix(a, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

func commonSuffix(a, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[len(a)-1-n] == b[len(b)-1-n] {
		n++
	}
	return n
}

// decodePatches replaces the patches of d by the complete objects. It returns ErrBaseMismatch if
// the base of d is not among the recent versions.
func (s *Store) decodePatches(d *snapshot.Delta) error {
	base := s.recent(d.Base)
	if base == nil && d.Base != 0 {
		return ErrBaseMismatch
	}
	for i, e := range d.Changed {
		object, err := decodePatch(s.objectOf(base, e.Service), d.Objects[i])
		if err != nil {
			return errors.Wrapf(err, "decode the patch of service %s", e.Service)
		}
		d.Objects[i] = object
	}
	for i, e := range d.Accounts {
		object, err := decodePatch(base.AccountObject(e.Group), d.AccountObjects[i])
		if err != nil {
			return errors.Wrapf(err, "decode the patch of account group %d", e.Group)
		}
		d.AccountObjects[i] = object
	}
	return nil
}

func decodePatch(base, data []byte) ([]byte, error) {
	var p patch
	if err := decMode.Unmarshal(data, &p); err != nil {
		return nil, err
	}
	if p.Prefix < 0 || p.Suffix < 0 || p.Prefix > len(base) || p.Suffix > len(base)-p.Prefix {
		return nil, errors.Errorf("patch keeps a prefix of %d and a suffix of %d of %d bytes", p.Prefix, p.Suffix, len(base))
	}
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(snapshot.MaxObjectBytes),
	}
	if dictionary := base[p.Prefix : len(base)-p.Suffix]; len(dictionary) >= minDictionary {
		options = append(options, zstd.WithDecoderDictRaw(patchDictionary, dictionary))
	}
	r, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	middle, err := r.DecodeAll(p.Middle, nil)
	if err != nil {
		return nil, err
	}
	if p.Prefix+len(middle)+p.Suffix > snapshot.MaxObjectBytes {
		return nil, errors.Errorf("object exceeds %d bytes", snapshot.MaxObjectBytes)
	}
	return slices.Concat(base[:p.Prefix], middle, base[len(base)-p.Suffix:]), nil
}
