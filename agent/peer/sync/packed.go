package sync

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// packedDelta is an encoded delta whose objects are compressed. The dictionary of an object is the one
// of the same service in the base, from which a revision differs in a few bytes.
type packedDelta struct {
	base, version snapshot.Version
	data          []byte
}

// packed returns the encoded delta from base to the version in force. The children of a daemon ask for
// the same one at the same time; it is made once, as a compressor takes 0.8 MB.
func (s *Server) packed(base *snapshot.Snapshot) ([]byte, error) {
	s.packing.Lock()
	defer s.packing.Unlock()
	current := s.store.Load()
	if s.last.base == base.Version && s.last.version == current.Version {
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
		s.last = packedDelta{base.Version, current.Version, data}
	}
	return data, err
}

// pack compresses the objects of d, which is based on base.
func (s *Store) pack(base *snapshot.Snapshot, d *snapshot.Delta) error {
	for i, e := range d.Changed {
		var b bytes.Buffer
		w, err := flate.NewWriterDict(&b, flate.DefaultCompression, s.codec.Object(base, e.Service))
		if err != nil {
			return errors.Wrap(err, "compress an object")
		}
		if _, err := w.Write(d.Objects[i]); err != nil {
			return errors.Wrap(err, "compress an object")
		}
		if err := w.Close(); err != nil {
			return errors.Wrap(err, "compress an object")
		}
		d.Objects[i] = b.Bytes()
	}
	return nil
}

// unpack reverses pack. It returns ErrOtherBase if the base is not among the recent versions.
func (s *Store) unpack(d *snapshot.Delta) error {
	base := s.recent(d.Base)
	if base == nil {
		return ErrOtherBase
	}
	for i, e := range d.Changed {
		r := flate.NewReaderDict(bytes.NewReader(d.Objects[i]), s.codec.Object(base, e.Service))
		object, err := io.ReadAll(io.LimitReader(r, snapshot.MaxObjectBytes+1))
		if err != nil {
			return errors.Wrapf(err, "decompress service %s", e.Service)
		}
		if len(object) > snapshot.MaxObjectBytes {
			return errors.Errorf("service %s exceeds %d bytes", e.Service, snapshot.MaxObjectBytes)
		}
		d.Objects[i] = object
	}
	return nil
}
