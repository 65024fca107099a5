package packetauth

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// historySize is the number of timestamps stored per sender. A packet that this many later
	// packets have overtaken is rejected.
	historySize = 8
	// maxSenders bounds the memory to about 4 MB. Only peers with a key can add senders.
	maxSenders = 32768
)

// sender identifies one run of a daemon.
type sender struct {
	addr        netip.AddrPort
	incarnation uint32
}

// history holds the newest timestamps of a sender, unordered. Unused elements are 0.
type history [historySize]int64

// replayFilter detects packets that were accepted before.
type replayFilter struct {
	senders   map[sender]*history
	nextSweep time.Time
}

// check records the timestamp of an authenticated packet. rejected is true if the packet must not
// be accepted.
func (r *replayFilter) check(now time.Time, from sender, ts int64) (reason Reject, rejected bool) {
	r.sweep(now)
	h := r.senders[from]
	if h == nil {
		if len(r.senders) >= maxSenders {
			return Overflow, true
		}
		h = &history{}
		r.senders[from] = h
	}
	oldest := 0
	for i, known := range h {
		if known == ts {
			return Replayed, true
		}
		if known < h[oldest] {
			oldest = i
		}
	}
	if ts < h[oldest] {
		return Replayed, true
	}
	h[oldest] = ts
	return 0, false
}

// sweep removes senders whose newest timestamp is too old to be accepted.
func (r *replayFilter) sweep(now time.Time) {
	if now.Before(r.nextSweep) {
		return
	}
	r.nextSweep = now.Add(sweepInterval)
	expired := now.Add(-MaxClockDifference).UnixMicro()
	for from, h := range r.senders {
		if slices.Max(h[:]) < expired {
			delete(r.senders, from)
		}
	}
}
