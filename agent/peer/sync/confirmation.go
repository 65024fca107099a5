package sync

import (
	"sync"
	"time"
)

// defaultApplyTime is the time within which a change must be in force everywhere, by the target of
// the product.
const defaultApplyTime = 5 * time.Second

// A change that is acknowledged just after the last confirmation is in force in time because the
// parts of the apply time below add up to less than it, also at the fifth level of the tree:
// 1/2 + 5/20 + 1/5.
const (
	// confirmParts: a reader confirms at least every quarter of the apply time, so that a change, the
	// pause after it and a delay on the way leave its confirmation fresh.
	confirmParts = 4
	// staleParts: a daemon asks the source itself when its last confirmation is older than half of
	// the apply time.
	staleParts = 2
	// levelParts: each level below the readers waits for another twentieth, so that a level gets the
	// answer of the one above instead of asking too.
	levelParts = 20
	// readParts: the first read of the source takes at most a fifth, before it is tried on another
	// connection.
	readParts = 5
)

// confirmation tracks how recent the knowledge of a daemon is. It is safe for concurrent use.
type confirmation struct {
	mu sync.Mutex
	// at is the time before which every acknowledged version is in force here, zero if unknown.
	at time.Time
	// number is the number of changes of at.
	number  uint64
	changed chan struct{}
}

func newConfirmation() *confirmation { return &confirmation{changed: make(chan struct{})} }

// advance records that every version acknowledged before at is in force. An earlier time than the
// recorded one is ignored.
func (c *confirmation) advance(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !at.After(c.at) {
		return
	}
	c.at = at
	c.number++
	close(c.changed)
	c.changed = make(chan struct{})
}

// load returns the last confirmation, and a channel that is closed with the next one.
func (c *confirmation) load() (at time.Time, number uint64, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at, c.number, c.changed
}

// confirmationAge returns the age of the knowledge of this daemon and whether there is any.
func (f *Follower) confirmationAge() (age time.Duration, known bool) {
	at, _, _ := f.confirmed.load()
	if at.IsZero() {
		return noAnswer, false
	}
	return elapsed(at), true
}

func (f *Follower) confirmInterval() time.Duration { return f.cfg.ApplyTime / confirmParts }
func (f *Follower) readTimeout() time.Duration     { return f.cfg.ApplyTime / readParts }

// staleAfter returns the age of the last confirmation at which this daemon asks the source itself.
func (f *Follower) staleAfter() time.Duration {
	level := time.Duration(f.position().Ancestors)
	return f.cfg.ApplyTime/staleParts + level*f.cfg.ApplyTime/levelParts
}

// untilStale returns the time until this daemon must ask the source itself, 0 if it is due.
func (f *Follower) untilStale() time.Duration {
	age, known := f.confirmationAge()
	if !known {
		return 0
	}
	return max(0, f.staleAfter()-age)
}

// addConfirmation adds the last confirmation to the answer to a poll that arrived at the given
// time. The version is read after the confirmation, so that it is at least the confirmed one.
func (f *Follower) addConfirmation(arrived time.Time, reply *PollReply) {
	at, number, _ := f.confirmed.load()
	if at.IsZero() {
		return
	}
	// Not by the time of day, as a longer time would make the confirmation more recent. It is read
	// before the age for the same reason: this process may be paused between the two.
	reply.Held = time.Since(arrived)
	reply.Confirmation, reply.ConfirmationAge = number, elapsed(at)
	reply.InForce = f.cfg.Store.Version()
	reply.StoreEra = f.RestoreStatus().Era
}

// adoptConfirmation takes over the confirmation of a parent that answered a poll sent at the given
// time. The time on the way counts as age.
func (f *Follower) adoptConfirmation(sent time.Time, reply *PollReply) {
	if f.cfg.Restores != nil && reply.StoreEra > 0 {
		f.cfg.Restores.Raise(reply.StoreEra)
	}
	if reply.Confirmation == 0 || f.cfg.Store.Version() < reply.InForce {
		return
	}
	held := min(max(0, reply.Held), time.Since(sent))
	f.confirmed.advance(sent.Add(held - max(0, reply.ConfirmationAge)))
}
