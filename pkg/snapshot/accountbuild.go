package snapshot

import (
	"maps"

	"github.com/pkg/errors"
)

// accountBuilder collects the changed groups of accounts of a snapshot that is being built. It shares
// everything else with the base.
type accountBuilder struct {
	base    *accountTable
	entries [accountGroups]*AccountEntry
	changed [accountGroups]bool
	groups  [accountGroups][]*Account
}

// accountBuilderFrom returns a builder that starts with the accounts of s, which may be nil.
func accountBuilderFrom(s *Snapshot) accountBuilder {
	b := accountBuilder{base: &accountTable{}}
	if !s.HasAccounts() {
		return b
	}
	b.base, b.groups = s.accounts, s.accounts.groups
	for i := range s.Manifest.Accounts {
		e := &s.Manifest.Accounts[i]
		b.entries[e.Group] = e
	}
	return b
}

// add verifies and decodes the object of a group. Accounts that equal those of the base are replaced by
// them, so that only the maps of keys of changed accounts are rebuilt.
func (b *accountBuilder) add(e AccountEntry, object []byte) error {
	accounts, err := decodeGroup(object, e)
	if err != nil {
		return err
	}
	for i, a := range accounts {
		if known := b.base.find(a.Name); known != nil && known.equal(a) {
			accounts[i] = known
		}
	}
	b.entries[e.Group], b.groups[e.Group], b.changed[e.Group] = &e, accounts, true
	return nil
}

// remove deletes a group. It fails with ErrMissing if the group does not exist.
func (b *accountBuilder) remove(group int) error {
	if group < 0 || group >= accountGroups || b.entries[group] == nil {
		return errors.Wrapf(ErrMissing, "removed account group %d", group)
	}
	b.entries[group], b.groups[group], b.changed[group] = nil, nil, true
	return nil
}

// manifestEntries returns the entries sorted by group.
func (b *accountBuilder) manifestEntries() []AccountEntry {
	var entries []AccountEntry
	for _, e := range b.entries {
		if e != nil {
			entries = append(entries, *e)
		}
	}
	return entries
}

// finish returns the table of the accounts, nil if there are none, and the violations of the rules.
func (b *accountBuilder) finish() (*accountTable, Problems) {
	removed, added := b.difference()
	if len(removed) == 0 && len(added) == 0 {
		return b.base.orNil(), nil
	}
	t := &accountTable{groups: b.groups, byKey: b.base.byKey, accounts: b.base.accounts, keys: b.base.keys}
	c := accountChecker{}
	index := keyIndex{maps: &t.byKey, size: countKeys(added) / keyMaps}
	for _, a := range removed {
		t.accounts, t.keys = t.accounts-1, t.keys-len(a.Keys)
		for _, k := range a.Keys {
			index.remove(k)
		}
	}
	for _, a := range added {
		t.accounts, t.keys = t.accounts+1, t.keys+len(a.Keys)
		c.check(a)
		for _, k := range a.Keys {
			if other := index.add(k, a); other != nil && other != a {
				c.sharedKey(k, other, a)
			}
		}
	}
	index.dropEmpty()
	c.checkSize(t)
	return t.orNil(), c.problems
}

func (t *accountTable) orNil() *accountTable {
	if t.accounts == 0 {
		return nil
	}
	return t
}

// difference returns the accounts of the base that are gone or differ, and those that are new or
// differ. Equal accounts have the same address.
func (b *accountBuilder) difference() (removed, added []*Account) {
	for g := range b.groups {
		if !b.changed[g] {
			continue
		}
		kept := make(map[*Account]bool, len(b.groups[g]))
		for _, a := range b.groups[g] {
			kept[a] = true
		}
		for _, a := range b.base.groups[g] {
			if !kept[a] {
				removed = append(removed, a)
			}
			delete(kept, a)
		}
		for _, a := range b.groups[g] {
			if kept[a] {
				added = append(added, a)
			}
		}
	}
	return removed, added
}

func countKeys(accounts []*Account) int {
	n := 0
	for _, a := range accounts {
		n += len(a.Keys)
	}
	return n
}

// keyIndex changes the maps of a key index. It copies a map before its first change, since the base
// uses it.
type keyIndex struct {
	maps *[keyMaps]map[KeyHash]*Account
	// size is the expected number of keys in a new map.
	size   int
	copied [keyMaps]bool
}

func (x *keyIndex) writable(first byte) map[KeyHash]*Account {
	if !x.copied[first] {
		x.copied[first] = true
		x.maps[first] = maps.Clone(x.maps[first])
		if x.maps[first] == nil {
			x.maps[first] = make(map[KeyHash]*Account, x.size)
		}
	}
	return x.maps[first]
}

func (x *keyIndex) remove(k KeyHash) { delete(x.writable(k[0]), k) }

// add adds a key and returns the account that already has it, if any.
func (x *keyIndex) add(k KeyHash, a *Account) *Account {
	m := x.writable(k[0])
	if other := m[k]; other != nil {
		return other
	}
	m[k] = a
	return nil
}

// dropEmpty replaces copied maps without keys by nil, so that equal tables have equal representations.
func (x *keyIndex) dropEmpty() {
	for first, copied := range x.copied {
		if copied && len(x.maps[first]) == 0 {
			x.maps[first] = nil
		}
	}
}

// apply applies the changes of accounts in d.
func (b *accountBuilder) apply(d *Delta) error {
	for _, group := range d.RemovedGroups {
		if err := b.remove(group); err != nil {
			return err
		}
	}
	for i, e := range d.Accounts {
		if err := b.add(e, d.AccountObjects[i]); err != nil {
			return err
		}
	}
	return nil
}
