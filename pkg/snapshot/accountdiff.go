package snapshot

import (
	"fmt"
	"iter"
	"slices"
	"strings"
)

// maxListedKeys bounds the keys that a line of DiffAccounts lists.
const maxListedKeys = 8

// accountChange is an account in two snapshots; one of both is nil if the account exists in one only.
type accountChange struct{ old, new *Account }

func (c accountChange) name() string {
	if c.new != nil {
		return c.new.Name
	}
	return c.old.Name
}

// DiffAccounts describes the changed accounts from old to new, one line for each of the first limit by
// name, and returns the number of all of them. Either may be nil. Keys appear by the first digits of their
// hash.
func DiffAccounts(old, new *Snapshot, limit int) (lines []string, changed int) {
	changes := accountChanges(old, new)
	slices.SortFunc(changes, func(a, b accountChange) int { return strings.Compare(a.name(), b.name()) })
	for _, c := range changes[:min(len(changes), limit)] {
		lines = append(lines, c.describe())
	}
	return lines, len(changes)
}

func accountChanges(old, new *Snapshot) []accountChange {
	var changes []accountChange
	for a := range old.allAccounts() {
		if b := new.Account(a.Name); b == nil || !a.equal(b) {
			changes = append(changes, accountChange{a, b})
		}
	}
	for b := range new.allAccounts() {
		if old.Account(b.Name) == nil {
			changes = append(changes, accountChange{nil, b})
		}
	}
	return changes
}

// allAccounts iterates over the accounts of s. It accepts a nil receiver.
func (s *Snapshot) allAccounts() iter.Seq[*Account] {
	return func(yield func(*Account) bool) {
		if !s.HasAccounts() {
			return
		}
		for _, group := range s.accounts.groups {
			for _, a := range group {
				if !yield(a) {
					return
				}
			}
		}
	}
}

func (c accountChange) describe() string {
	old, new := c.old, c.new
	switch {
	case old == nil:
		return fmt.Sprintf("account %q is new: %s, %s, %d keys", new.Name, new.describeRank(), new.describeCap(), len(new.Keys))
	case new == nil:
		return fmt.Sprintf("account %q is removed with %d keys", old.Name, len(old.Keys))
	}
	var changes []string
	addIf := func(changed bool, format string, args ...any) {
		if changed {
			changes = append(changes, fmt.Sprintf(format, args...))
		}
	}
	addIf(old.Rank != new.Rank, "now %s (was %s)", new.describeRank(), old.describeRank())
	addIf(old.Rate != new.Rate || old.Burst != new.Burst, "now %s (was %s)", new.describeCap(), old.describeCap())
	withdrawn, added := keysMissingFrom(new, old), keysMissingFrom(old, new)
	addIf(len(withdrawn) > 0, "%d keys withdrawn (%s)", len(withdrawn), listKeys(withdrawn))
	addIf(len(added) > 0, "%d keys added (%s)", len(added), listKeys(added))
	return fmt.Sprintf("account %q: %s", new.Name, strings.Join(changes, ", "))
}

func (a *Account) describeRank() string {
	if a.Rank == 0 {
		return "rank of the kind"
	}
	return fmt.Sprintf("rank %d", a.Rank)
}

func (a *Account) describeCap() string {
	if a.Rate == 0 {
		return "no cap"
	}
	return fmt.Sprintf("cap %s with a burst of %d", FormatRate(a.Rate), a.Burst)
}

// keysMissingFrom returns the keys of b that a does not have.
func keysMissingFrom(a, b *Account) []KeyHash {
	var missing []KeyHash
	for _, k := range b.Keys {
		if !a.hasKey(k) {
			missing = append(missing, k)
		}
	}
	return missing
}

func listKeys(keys []KeyHash) string {
	var short []string
	for _, k := range keys[:min(len(keys), maxListedKeys)] {
		short = append(short, k.Short())
	}
	if len(keys) > maxListedKeys {
		short = append(short, "...")
	}
	return strings.Join(short, " ")
}
