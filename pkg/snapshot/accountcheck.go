package snapshot

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Limits of the values of an account.
const (
	// MaxAccountNameBytes limits the name of an account, which daemons send in a header.
	MaxAccountNameBytes = 256
	// MaxAccountKeys limits the keys of one account, so that its group fits MaxObjectBytes.
	MaxAccountKeys = 32768
	// MaxAccounts and MaxKeys limit the accounts of a configuration and their keys to some six times
	// the 10,000 and 100,000 for which the system is designed, to bound the memory of a daemon.
	MaxAccounts = 65536
	MaxKeys     = 655360
	// MaxAccountRate and MaxAccountBurst limit a usage cap. They exceed what the system can carry.
	MaxAccountRate  = 1e9
	MaxAccountBurst = 1_000_000_000
)

// Keys of an account in a Problem.
const (
	KeyAPIKeys = "api-keys"
	KeyRate    = "rate"
	KeyBurst   = "burst"
)

// emptyKey is the hash of the empty text, which is not a valid key.
var emptyKey = HashKey("")

// accountChecker collects problems of accounts.
type accountChecker struct{ problems Problems }

func (c *accountChecker) fail(account, key, expected, format string, args ...any) {
	c.problems = append(c.problems, Problem{Account: account, Key: key, Expected: expected, Reason: fmt.Sprintf(format, args...)})
}

// check reports the violations of the rules that concern a alone.
func (c *accountChecker) check(a *Account) {
	if !validAccountName(a.Name) {
		c.fail(a.Name, KeyName, fmt.Sprintf("1 to %d bytes of text without control characters and spaces at its ends", MaxAccountNameBytes),
			"%.300q is not an account name", a.Name)
	}
	if a.Rank < 0 || a.Rank > MaxRank {
		c.fail(a.Name, KeyRank, fmt.Sprintf("a whole number from %d to %d, or none", MinRank, MaxRank), "%d is out of range", a.Rank)
	}
	// The negated condition also rejects NaN, which a peer could send.
	if !(a.Rate >= 0 && a.Rate <= MaxAccountRate) {
		c.fail(a.Name, KeyRate, "a rate of 0 or more", "%v/s is out of range", a.Rate)
	}
	if a.Burst < 0 || a.Burst > MaxAccountBurst {
		c.fail(a.Name, KeyBurst, "a number of requests of 0 or more", "%d is out of range", a.Burst)
	}
	c.checkKeys(a)
}

func (c *accountChecker) checkKeys(a *Account) {
	if len(a.Keys) > MaxAccountKeys {
		c.fail(a.Name, KeyAPIKeys, fmt.Sprintf("at most %d keys", MaxAccountKeys), "the account has %d keys", len(a.Keys))
	}
	if a.hasKey(emptyKey) {
		c.fail(a.Name, KeyAPIKeys, "keys that are not empty", "a key is empty")
	}
	for i := 1; i < len(a.Keys); i++ {
		if compareKeys(a.Keys[i-1], a.Keys[i]) >= 0 {
			c.fail(a.Name, KeyAPIKeys, "each key once, in order", "key %s follows %s", a.Keys[i].Short(), a.Keys[i-1].Short())
			return
		}
	}
}

// sharedKey reports a key that two accounts have, because it would not identify its caller. The problem
// does not depend on the order of the accounts.
func (c *accountChecker) sharedKey(k KeyHash, first, second *Account) {
	if first.Name > second.Name {
		first, second = second, first
	}
	c.fail(second.Name, KeyAPIKeys, "a key that no other account has", "account %q has the same key %s", first.Name, k.Short())
}

func (c *accountChecker) checkSize(t *accountTable) {
	if t.accounts > MaxAccounts || t.keys > MaxKeys {
		c.fail("", KeyAPIKeys, fmt.Sprintf("at most %d accounts with %d keys", MaxAccounts, MaxKeys), "there are %d accounts with %d keys", t.accounts, t.keys)
	}
}

func validAccountName(name string) bool {
	return name != "" && len(name) <= MaxAccountNameBytes && utf8.ValidString(name) &&
		strings.TrimSpace(name) == name && !strings.ContainsFunc(name, unicode.IsControl)
}
