package snapshot

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
)

// KeyHash identifies an API key: the first 16 bytes of its SHA-256. The key itself is kept nowhere, so
// that neither memory, messages nor logs of a daemon reveal it.
type KeyHash [16]byte

// HashKey returns the hash of an API key.
func HashKey(key string) KeyHash {
	sum := sha256.Sum256([]byte(key))
	return KeyHash(sum[:len(KeyHash{})])
}

// Short returns the first 8 hexadecimal digits, the most that logs and terminal output show.
func (k KeyHash) Short() string { return hex.EncodeToString(k[:4]) }

// Account is a client account: callers that present one of its API keys.
type Account struct {
	Name string
	// Keys is sorted.
	Keys []KeyHash
	// Rank takes precedence over the rank of the kind; 0 means that the rank of the kind applies.
	Rank int
	// Rate is the usage cap in requests per second over all daemons, 0 for none. Burst is the number
	// of requests beyond it; it is ignored if Rate is 0.
	Rate  float64
	Burst int
}

func (a *Account) equal(b *Account) bool {
	return a.Name == b.Name && a.Rank == b.Rank && a.Rate == b.Rate && a.Burst == b.Burst && slices.Equal(a.Keys, b.Keys)
}

// hasKey reports whether k is a key of a.
func (a *Account) hasKey(k KeyHash) bool {
	_, found := slices.BinarySearchFunc(a.Keys, k, compareKeys)
	return found
}

func compareKeys(a, b KeyHash) int { return slices.Compare(a[:], b[:]) }

// accountGroups is the number of objects into which the accounts are divided. Each one has a manifest
// entry, so that 10,000 accounts take 64 entries and a change of one key sends one object of some 30 KB
// or a patch of it. It is part of the encoding: all daemons must use the same number.
const accountGroups = 64

// accountGroup returns the group of an account: the FNV-1a hash of its name, modulo accountGroups.
func accountGroup(name string) int {
	hash := uint32(2166136261)
	for i := range len(name) {
		hash = (hash ^ uint32(name[i])) * 16777619
	}
	return int((hash ^ hash>>16) % accountGroups)
}

// keyMaps is the number of maps of the key index, one for each first byte of a key hash.
const keyMaps = 256

// accountTable holds the accounts of a snapshot. It is immutable; successive snapshots share its
// unchanged groups, accounts and maps.
type accountTable struct {
	// groups holds the accounts of each group, sorted by name.
	groups [accountGroups][]*Account
	// byKey is the index of the keys, divided by the first byte of the hash.
	byKey          [keyMaps]map[KeyHash]*Account
	accounts, keys int
}

// HasAccounts reports whether the configuration has client accounts, so that callers must
// authenticate. It accepts a nil receiver.
func (s *Snapshot) HasAccounts() bool { return s != nil && s.accounts != nil }

// AccountByKey returns the account that has the key, nil if there is none. It does not allocate.
func (s *Snapshot) AccountByKey(k KeyHash) *Account {
	if !s.HasAccounts() {
		return nil
	}
	return s.accounts.byKey[k[0]][k]
}

// Account returns the account with the given name, nil if there is none.
func (s *Snapshot) Account(name string) *Account {
	if !s.HasAccounts() {
		return nil
	}
	return s.accounts.find(name)
}

// AccountCounts returns the numbers of accounts and of their keys. It accepts a nil receiver.
func (s *Snapshot) AccountCounts() (accounts, keys int) {
	if !s.HasAccounts() {
		return 0, 0
	}
	return s.accounts.accounts, s.accounts.keys
}

func (t *accountTable) find(name string) *Account {
	group := t.groups[accountGroup(name)]
	i, found := slices.BinarySearchFunc(group, name, func(a *Account, name string) int { return strings.Compare(a.Name, name) })
	if !found {
		return nil
	}
	return group[i]
}
