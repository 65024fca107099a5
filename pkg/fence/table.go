// Package fence tracks the attempts that a daemon has received. A fence determines whether an
// attempt has started, and otherwise prevents it from ever starting, even if the fence arrives
// before the request or the request is delivered twice.
package fence

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
)

// DefaultLimit is the number of settled attempts that a daemon keeps: 13 s at 1,200 calls/s, which
// is longer than the deadline of a call.
const DefaultLimit = 16384

// maxSenders bounds the number of low-water marks. A sender gets a new ID at each restart, so that
// old IDs accumulate; above this number, the mark of the sender that was idle for longest is
// dropped. At 1,200 restarts a day, that sender has been idle for weeks and has no request in
// transit.
const maxSenders = 1 << 16

// AttemptID identifies one transmission of a request to one daemon.
type AttemptID struct {
	// Sender is the incarnation of the sending daemon, 64 random bits.
	Sender uint64
	// Seq increases with each attempt of the sender.
	Seq uint64
}

// String returns the format used in logs and in the header Kingcupwood-Attempt.
func (id AttemptID) String() string { return fmt.Sprintf("%016x-%d", id.Sender, id.Seq) }

// ParseAttemptID parses the format of String and reports whether s is valid.
func ParseAttemptID(s string) (AttemptID, bool) {
	sender, seq, found := strings.Cut(s, "-")
	id := AttemptID{}
	var errSender, errSeq error
	id.Sender, errSender = strconv.ParseUint(sender, 16, 64)
	id.Seq, errSeq = strconv.ParseUint(seq, 10, 64)
	return id, found && errSender == nil && errSeq == nil
}

// Answer is the reply to a fence.
type Answer uint8

// The answers.
const (
	// Unknown means that the attempt may have run.
	Unknown Answer = iota
	// NeverWillRun means that the attempt has not started and never will.
	NeverWillRun
	// HasStarted means that the attempt was passed to the backend server.
	HasStarted
)

var answerNames = [...]string{Unknown: "unknown", NeverWillRun: "never-will-run", HasStarted: "has-started"}

// String returns the name of a.
func (a Answer) String() string {
	if int(a) < len(answerNames) {
		return answerNames[a]
	}
	return fmt.Sprintf("answer(%d)", uint8(a))
}

type state uint8

const (
	waiting  state = iota + 1 // arrived, not started
	started                   // passed to the backend server, not finished
	fenced                    // settled: will never run
	finished                  // settled: has run
)

type attempt struct {
	state  state
	cancel func()
}

// sender holds the low-water marks of one sending daemon.
type sender struct {
	// evicted is the highest sequence number among all evicted attempts, ran the highest among the
	// evicted attempts that had started.
	evicted, ran uint64
	// used is the value of Table.clock when an attempt of the sender was last evicted.
	used uint64
}

// Table holds the waiting and running attempts, and the settled ones up to a limit. It is safe for
// concurrent use.
type Table struct {
	mu       sync.Mutex
	attempts map[AttemptID]attempt
	settled  ring
	senders  map[uint64]sender
	clock    uint64
}

// NewTable returns a Table that keeps up to limit settled attempts, at least one.
func NewTable(limit int) *Table {
	return &Table{
		attempts: map[AttemptID]attempt{},
		settled:  newRing(max(limit, 1)),
		senders:  map[uint64]sender{},
	}
}

// Arrive records a request on arrival. It returns false if the attempt must not run, because it is
// fenced, is a duplicate or may have been evicted. A later fence calls cancel, at most once, unless
// the attempt has started or finished by then.
func (t *Table) Arrive(id AttemptID, cancel func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.attempts[id]; known || id.Seq <= t.senders[id.Sender].evicted {
		return false
	}
	t.attempts[id] = attempt{state: waiting, cancel: cancel}
	return true
}

// Start marks the attempt as started immediately before the first byte goes to the backend server.
// It returns false if the attempt must not run.
func (t *Table) Start(id AttemptID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.attempts[id].state != waiting {
		return false
	}
	t.attempts[id] = attempt{state: started}
	return true
}

// Finish settles an attempt. An attempt that has not started is fenced.
func (t *Table) Finish(id AttemptID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch t.attempts[id].state {
	case waiting:
		t.settle(id, fenced)
	case started:
		t.settle(id, finished)
	}
}

// Fence determines whether the attempt has started. An attempt that is waiting or has not arrived
// is settled so that it never starts; for a waiting one, cancel is called.
func (t *Table) Fence(id AttemptID) Answer {
	t.mu.Lock()
	entry, known := t.attempts[id]
	switch {
	case entry.state == waiting, !known && id.Seq > t.senders[id.Sender].evicted:
		t.settle(id, fenced)
	}
	answer := t.answer(id)
	t.mu.Unlock()
	if entry.state == waiting && entry.cancel != nil {
		entry.cancel()
	}
	return answer
}

// Lookup returns the same answer as Fence but changes no state. For an attempt that is waiting or
// has not arrived, it returns Unknown.
func (t *Table) Lookup(id AttemptID) Answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.answer(id)
}

func (t *Table) answer(id AttemptID) Answer {
	switch t.attempts[id].state {
	case fenced:
		return NeverWillRun
	case started, finished:
		return HasStarted
	case waiting:
		return Unknown
	}
	// Evicted attempts are refused on arrival, so this one never runs unless it already has.
	if mark := t.senders[id.Sender]; id.Seq <= mark.evicted && id.Seq > mark.ran {
		return NeverWillRun
	}
	return Unknown
}

// settle records the final state of id. If this exceeds the limit, the attempt that was settled
// first is evicted; the low-water mark of its sender prevents it from running.
func (t *Table) settle(id AttemptID, final state) {
	t.attempts[id] = attempt{state: final}
	oldest, full := t.settled.push(id)
	if !full {
		return
	}
	t.raiseMark(oldest, t.attempts[oldest].state)
	delete(t.attempts, oldest)
}

func (t *Table) raiseMark(id AttemptID, final state) {
	t.clock++
	mark, known := t.senders[id.Sender]
	if !known && len(t.senders) >= maxSenders {
		t.dropIdlestSender()
	}
	mark.used = t.clock
	mark.evicted = max(mark.evicted, id.Seq)
	if final == finished {
		mark.ran = max(mark.ran, id.Seq)
	}
	t.senders[id.Sender] = mark
}

// dropIdlestSender scans all marks; it runs only when a new sender exceeds maxSenders.
func (t *Table) dropIdlestSender() {
	var idlest uint64
	oldest := t.clock
	for id, mark := range t.senders {
		if mark.used < oldest {
			idlest, oldest = id, mark.used
		}
	}
	delete(t.senders, idlest)
}
