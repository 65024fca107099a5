// Package packetauth authenticates the datagrams between daemons with a code under a group key, and
// recognizes datagrams that arrive a second time.
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
	// KeyBytes is the size of a key, that of the output of SHA-256.
	KeyBytes = 32
	// maxKeys bounds a ring; a rotation needs two.
	maxKeys = 16
	// idLabel separates the hash for the ID of a key from other uses of the key.
	idLabel = "kingcupwood probe key id\x00"
)

// key is a group key with its ID. The ID is derived from the key, so that two keys of a rotation
// cannot be given the same one.
type key struct {
	id     uint32
	secret []byte
}

// Ring holds the group keys: the first one for sending, all of them for receiving.
type Ring struct{ keys []key }

// ParseRing reads a file of keys: one in 64 hexadecimal digits on each line. Empty lines and lines
// that begin with # are ignored. Errors name the line and never contain key material.
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
			return nil, errors.Errorf("line %d: repeats a key", number)
		}
		ring.keys = append(ring.keys, k)
	}
	if len(ring.keys) == 0 || len(ring.keys) > maxKeys {
		return nil, errors.Errorf("%d keys, not 1 to %d", len(ring.keys), maxKeys)
	}
	return ring, nil
}

// FormatKey returns the line of a ring file for a key of KeyBytes bytes.
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
