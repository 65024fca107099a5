package snapshot

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Limits of the decoders. They bound the memory that a peer can make a daemon allocate.
const (
	// MaxObjectBytes limits an encoded service. A typical service takes less than 1 KB, one with
	// MaxRoutes routes about 800 KB.
	MaxObjectBytes = 1 << 20
	// MaxManifestBytes limits an encoded manifest. A manifest of 1,400 services takes about 80 KB.
	MaxManifestBytes = 4 << 20
	// MaxDeltaBytes limits an encoded delta. A complete delta of 1,400 services takes about 530 KB.
	MaxDeltaBytes = 32 << 20

	maxArrayElements = 65536
	maxMapPairs      = 64
	maxNestedLevels  = 8
)

// Errors of decoding, building and applying configurations. Returned errors wrap them.
var (
	// ErrHash means that the content does not match its expected hash.
	ErrHash = errors.New("content does not match its hash")
	// ErrFormat means that the input is malformed: it is not the deterministic encoding of the
	// expected type, exceeds a size limit or has inconsistent entries.
	ErrFormat = errors.New("malformed encoding")
	// ErrOldVersion means that the new version is not greater than the current one.
	ErrOldVersion = errors.New("version is not newer")
	// ErrBase means that the delta applies to a different base version.
	ErrBase = errors.New("delta has another base version")
	// ErrMissing means that a referenced object or service does not exist.
	ErrMissing = errors.New("referenced entry is missing")
)

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

func mustEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxArrayElements:  maxArrayElements,
		MaxMapPairs:       maxMapPairs,
		MaxNestedLevels:   maxNestedLevels,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// HashOf returns the SHA-256 hash of an encoded object.
func HashOf(data []byte) Hash { return sha256.Sum256(data) }

// String returns the hash as lower-case hexadecimal digits.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// Short returns the first 12 hexadecimal digits, for logs and terminal output.
func (h Hash) Short() string { return h.String()[:12] }

// ParseHash parses the hexadecimal form returned by String.
func ParseHash(text string) (Hash, error) {
	var h Hash
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(h) {
		return Hash{}, errors.Errorf("%q is not a hash of %d hexadecimal digits", text, 2*len(h))
	}
	copy(h[:], raw)
	return h, nil
}

// Encode returns the deterministic encoding of s and its hash; equal services have equal encodings.
// It fails with ErrFormat if the encoding exceeds MaxObjectBytes.
func Encode(s *Service) ([]byte, Hash, error) {
	return encode(s, MaxObjectBytes)
}

// Decode decodes a service. It fails with ErrHash if the hash of data is not want, and with
// ErrFormat if data is not the output of Encode.
func Decode(data []byte, want Hash) (*Service, error) {
	s := new(Service)
	if err := decode(data, want, MaxObjectBytes, s); err != nil {
		return nil, errors.WithMessage(err, "decode service")
	}
	return s, nil
}

// EncodeManifest returns the deterministic encoding of m and its hash. It fails with ErrFormat if
// the entries are not strictly sorted by service name or the encoding exceeds MaxManifestBytes.
func EncodeManifest(m *Manifest) ([]byte, Hash, error) {
	if err := m.checkOrder(); err != nil {
		return nil, Hash{}, err
	}
	return encode(m, MaxManifestBytes)
}

// DecodeManifest decodes a manifest. It fails with ErrHash if the hash of data is not want, and
// with ErrFormat if data is not the output of EncodeManifest.
func DecodeManifest(data []byte, want Hash) (*Manifest, error) {
	m := new(Manifest)
	if err := decode(data, want, MaxManifestBytes, m); err != nil {
		return nil, errors.WithMessage(err, "decode manifest")
	}
	if err := m.checkOrder(); err != nil {
		return nil, errors.WithMessage(err, "decode manifest")
	}
	return m, nil
}

// EncodeDelta returns the deterministic encoding of d. It fails with ErrFormat if the encoding
// exceeds MaxDeltaBytes.
func EncodeDelta(d *Delta) ([]byte, error) {
	data, _, err := encode(d, MaxDeltaBytes)
	return data, err
}

// DecodeDelta decodes a delta or fails with ErrFormat. It does not validate the content; Apply
// does.
func DecodeDelta(data []byte) (*Delta, error) {
	d := new(Delta)
	if err := decode(data, HashOf(data), MaxDeltaBytes, d); err != nil {
		return nil, errors.WithMessage(err, "decode delta")
	}
	return d, nil
}

func encode(value any, limit int) ([]byte, Hash, error) {
	data, err := encoder.Marshal(value)
	if err != nil {
		return nil, Hash{}, errors.Wrap(err, "encode")
	}
	if len(data) > limit {
		return nil, Hash{}, errors.Wrapf(ErrFormat, "encoding takes %d bytes, limit is %d", len(data), limit)
	}
	return data, HashOf(data), nil
}

// decode accepts only the deterministic encoding, so that each value has exactly one hash. It
// rejects unknown fields, because a daemon that ignored them would serve an incomplete
// configuration.
func decode(data []byte, want Hash, limit int, into any) error {
	if len(data) > limit {
		return errors.Wrapf(ErrFormat, "%d bytes, limit is %d", len(data), limit)
	}
	if HashOf(data) != want {
		return errors.WithStack(ErrHash)
	}
	if err := decoder.Unmarshal(data, into); err != nil {
		return errors.Wrap(ErrFormat, err.Error())
	}
	reencoded, err := encoder.Marshal(into)
	if err != nil || !bytes.Equal(reencoded, data) {
		return errors.Wrap(ErrFormat, "encoding is not deterministic")
	}
	return nil
}

func (m *Manifest) checkOrder() error {
	if err := checkOrder(m.Entries); err != nil {
		return err
	}
	return checkAccountEntries(m.Accounts)
}

func checkOrder(entries []ManifestEntry) error {
	for i := 1; i < len(entries); i++ {
		if entries[i-1].Service >= entries[i].Service {
			return errors.Wrapf(ErrFormat, "entry %q does not follow %q in order of name", entries[i].Service, entries[i-1].Service)
		}
	}
	return nil
}
