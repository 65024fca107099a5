package sync

import (
	"slices"

	"go.uber.org/zap"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// maxAccountLines bounds the changed accounts that one log line describes.
const maxAccountLines = 10

// logAccounts logs how the client accounts of next differ from those of before, which may be nil.
func (f *Follower) logAccounts(before, next *snapshot.Snapshot) {
	var known []snapshot.AccountEntry
	if before != nil {
		known = before.Manifest.Accounts
	}
	if slices.Equal(known, next.Manifest.Accounts) {
		return
	}
	accounts, keys := next.AccountCounts()
	lines, changed := snapshot.DiffAccounts(before, next, maxAccountLines)
	f.cfg.Log.Log(event.AccountsChanged, zap.Uint64("version", uint64(next.Version)),
		zap.Int("accounts", accounts), zap.Int("keys", keys), zap.Int("changed", changed), zap.Strings("changes", lines))
}
