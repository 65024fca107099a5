// Package packetauth authenticates the datagrams between daemons with a message authentication code
// under a shared group key, and rejects replayed datagrams.
package packetauth

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/pkg/errors"
)

const (
	// KeyBytes is the size of a key, equal to the output size of SHA-256.
	KeyBytes = 32
	// maxKeys bounds the number of keys in a ring; a rotation needs two.
	maxKeys = 16
	// idLabel separates the domain of the key ID hash from other uses of the key.
	idLabel = "kingcupwood probe key id\x00"
)

// key is a group key with its ID. The ID is derived from the secret, so that an operator cannot
// assign the same ID to both keys of a rotation.
type key struct {
	id     uint32
	secret []byte
}

// Ring holds the group keys. The first one seals packets; all of them open packets.
type Ring struct{ keys []key }

// ParseRing parses a key file with one key of 64 hexadecimal digits per line. Empty lines and lines
// that begin with # are ignored. Errors contain the line number but no key material.
func ParseRing(data []byte) (*Ring, error) {
	ring := &Ring{}
	number := 0
	for raw := range bytes.Lines(data) {
		number++
		line := strings.TrimSpace(string(raw))
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		secret, err := hex.DecodeString(line)
		if err != nil || len(secret) != KeyBytes {
			return nil, errors.Errorf("line %d: not a key of %d hexadecimal digits", number, 2*KeyBytes)
		}
		k := newKey(secret)
		if ring.find(k.id) != nil {
			return nil, errors.Errorf("line %d: duplicate key", number)
		}
		ring.keys = append(ring.keys, k)
	}
	if len(ring.keys) == 0 || len(ring.keys) > maxKeys {
		return nil, errors.Errorf("%d keys, expected 1 to %d", len(ring.keys), maxKeys)
	}
	return ring, nil
}

// FormatKey returns the line of a key file for a secret of KeyBytes bytes.
func FormatKey(secret []byte) []byte { return []byte(hex.EncodeToString(secret) + "\n") }

func newKey(secret []byte) key {
	sum := sha256.Sum256(append([]byte(idLabel), secret...))
	return key{id: binary.BigEndian.Uint32(sum[:]), secret: secret}
}

// find returns the key with the given ID, or nil.
func (r *Ring) find(id uint32) *key {
	for i := range r.keys {
		if r.keys[i].id == id {
			return &r.keys[i]
		}
	}
	return nil
}
