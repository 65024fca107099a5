package sync

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// packedDelta is an encoded delta whose objects are patches of the same services in the base, from which a
// revision differs in a few bytes. A complete delta has the base 0, in which every service is empty.
type packedDelta struct {
	base, version snapshot.Version
	data          []byte
}

// packed returns the encoded delta from base, nil for a complete one, to the version in force. The children of a daemon ask for
// the same one at the same time; it is made once, as a compressor takes 0.8 MB.
func (s *Server) packed(base *snapshot.Snapshot) ([]byte, error) {
	s.packing.Lock()
	defer s.packing.Unlock()
	current := s.store.Load()
	var from snapshot.Version
	if base != nil {
		from = base.Version
	}
	if s.last.base == from && s.last.version == current.Version {
		return s.last.data, nil
	}
	d, err := s.store.codec.Delta(base, current)
	if err != nil {
		return nil, err
	}
	if err := s.store.pack(base, d); err != nil {
		return nil, err
	}
	data, err := encodeDelta(d)
	if err == nil {
		s.last = packedDelta{from, current.Version, data}
	}
	return data, err
}

// patch is an object as a change of the same service in the base: its first Prefix and last Suffix bytes are
// those of the base, and Middle is what lies between, compressed with the middle of the base as dictionary. A
// service can have thousands of routes, of which a version changes a few in different places, so the compression
// has to look back over the whole of the middle.
type patch struct {
	_      struct{} `cbor:",toarray"`
	Prefix int
	Suffix int
	Middle []byte
}

const (
	// patchWindow bounds how far a patch refers back, in the object and its base together.
	patchWindow = 4 << 20
	// minDictionary is the size below which a dictionary is not worth its set-up.
	minDictionary = 64
	// patchDictionary is the ID under which the dictionary is named in a patch.
	patchDictionary = 1
)

// pack turns the objects of d, which is based on base, into patches.
func (s *Store) pack(base *snapshot.Snapshot, d *snapshot.Delta) error {
	for i, e := range d.Changed {
		data, err := packObject(s.objectOf(base, e.Service), d.Objects[i])
		if err != nil {
			return errors.Wrap(err, "compress an object")
		}
		d.Objects[i] = data
	}
	return nil
}

// objectOf returns the encoded service in base, empty without a base.
func (s *Store) objectOf(base *snapshot.Snapshot, service string) []byte {
	if base == nil {
		return nil
	}
	return s.codec.Object(base, service)
}

func packObject(base, object []byte) ([]byte, error) {
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

// windowFor returns the smallest window that spans size bytes, a power of two within the bounds of zstd and
// patchWindow.
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

// unpack reverses pack. It returns ErrOtherBase if the base is not among the recent versions.
func (s *Store) unpack(d *snapshot.Delta) error {
	base := s.recent(d.Base)
	if base == nil && d.Base != 0 {
		return ErrBaseMismatch
	}
	for i, e := range d.Changed {
		object, err := unpackObject(s.objectOf(base, e.Service), d.Objects[i])
		if err != nil {
			return errors.Wrapf(err, "decompress service %s", e.Service)
		}
		d.Objects[i] = object
	}
	return nil
}

func unpackObject(base, data []byte) ([]byte, error) {
	var p patch
	if err := decMode.Unmarshal(data, &p); err != nil {
		return nil, err
	}
	if p.Prefix < 0 || p.Suffix < 0 || p.Prefix > len(base) || p.Suffix > len(base)-p.Prefix {
		return nil, errors.Errorf("patch keeps %d and %d of %d bytes", p.Prefix, p.Suffix, len(base))
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
		return nil, errors.Errorf("an object exceeds %d bytes", snapshot.MaxObjectBytes)
	}
	return slices.Concat(base[:p.Prefix], middle, base[len(base)-p.Suffix:]), nil
}
