package snapshot

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// AccountEntry identifies the object with the accounts of one group in a version.
type AccountEntry struct {
	Group int  `cbor:"1,keyasint"`
	Hash  Hash `cbor:"2,keyasint"`
}

// encodedGroup is the object of a group of accounts, encodedAccount one of them. The keys are
// concatenated, which saves a byte for each and the allocation of a list element by element.
type encodedGroup struct {
	Accounts []encodedAccount `cbor:"1,keyasint"`
}

type encodedAccount struct {
	Name  string  `cbor:"1,keyasint"`
	Keys  []byte  `cbor:"2,keyasint,omitempty"`
	Rank  int     `cbor:"3,keyasint,omitempty"`
	Rate  float64 `cbor:"4,keyasint,omitempty"`
	Burst int     `cbor:"5,keyasint,omitempty"`
}

// encodeGroup returns the deterministic encoding of accounts, which are sorted by name, and its hash.
func encodeGroup(accounts []*Account) ([]byte, Hash, error) {
	group := encodedGroup{Accounts: make([]encodedAccount, len(accounts))}
	for i, a := range accounts {
		keys := make([]byte, 0, len(KeyHash{})*len(a.Keys))
		for _, k := range a.Keys {
			keys = append(keys, k[:]...)
		}
		group.Accounts[i] = encodedAccount{Name: a.Name, Keys: keys, Rank: a.Rank, Rate: a.Rate, Burst: a.Burst}
	}
	return encode(&group, MaxObjectBytes)
}

// decodeGroup decodes the object of a group of accounts, which must be sorted by name and belong to
// the group. It fails with ErrHash or ErrFormat.
func decodeGroup(data []byte, e AccountEntry) ([]*Account, error) {
	var group encodedGroup
	if err := decode(data, e.Hash, MaxObjectBytes, &group); err != nil {
		return nil, errors.WithMessagef(err, "account group %d", e.Group)
	}
	accounts := make([]*Account, len(group.Accounts))
	for i := range group.Accounts {
		a, err := group.Accounts[i].account()
		if err != nil {
			return nil, errors.WithMessagef(err, "account group %d", e.Group)
		}
		if i > 0 && accounts[i-1].Name >= a.Name {
			return nil, errors.Wrapf(ErrFormat, "account %q does not follow %q in order of name", a.Name, accounts[i-1].Name)
		}
		if accountGroup(a.Name) != e.Group {
			return nil, errors.Wrapf(ErrFormat, "account %q does not belong to group %d", a.Name, e.Group)
		}
		accounts[i] = a
	}
	if len(accounts) == 0 {
		return nil, errors.Wrapf(ErrFormat, "account group %d is empty", e.Group)
	}
	return accounts, nil
}

func (e *encodedAccount) account() (*Account, error) {
	const size = len(KeyHash{})
	if len(e.Keys)%size != 0 {
		return nil, errors.Wrapf(ErrFormat, "account %q: the keys take %d bytes", e.Name, len(e.Keys))
	}
	a := &Account{Name: e.Name, Rank: e.Rank, Rate: e.Rate, Burst: e.Burst}
	if len(e.Keys) > 0 {
		a.Keys = make([]KeyHash, len(e.Keys)/size)
	}
	for i := range a.Keys {
		a.Keys[i] = KeyHash(e.Keys[i*size:])
	}
	return a, nil
}

// checkAccountEntries rejects entries that are not strictly sorted by group or have a group out of
// range.
func checkAccountEntries(entries []AccountEntry) error {
	last := -1
	for _, e := range entries {
		if e.Group <= last || e.Group >= accountGroups {
			return errors.Wrapf(ErrFormat, "account group %d follows %d", e.Group, last)
		}
		last = e.Group
	}
	return nil
}

// AccountObject returns the encoding of a group of accounts in s, nil if s has none in the group.
func (s *Snapshot) AccountObject(group int) []byte {
	if !s.HasAccounts() || group < 0 || group >= accountGroups || len(s.accounts.groups[group]) == 0 {
		return nil
	}
	object, _, err := encodeGroup(s.accounts.groups[group])
	if err != nil {
		return nil // a group in force has been encoded before
	}
	return object
}

// splitAccounts returns the accounts by group, each sorted by name. It fails with Problems if two
// accounts have the same name.
func splitAccounts(accounts []*Account) ([accountGroups][]*Account, error) {
	var groups [accountGroups][]*Account
	var problems Problems
	for _, a := range accounts {
		g := accountGroup(a.Name)
		groups[g] = append(groups[g], a)
	}
	for _, group := range groups {
		slices.SortStableFunc(group, func(a, b *Account) int { return strings.Compare(a.Name, b.Name) })
		for i := 1; i < len(group); i++ {
			if group[i].Name == group[i-1].Name {
				problems = append(problems, Problem{Account: group[i].Name, Key: KeyName, Expected: "a name that no other account has", Reason: "two accounts have this name"})
			}
		}
	}
	if len(problems) > 0 {
		return groups, problems
	}
	return groups, nil
}
