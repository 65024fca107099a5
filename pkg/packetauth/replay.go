package packetauth

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// rememberedStamps is the number of packets of a sender that may overtake another one.
	rememberedStamps = 8
	// maxSenders bounds the memory to about 4 MB. Only holders of a key can add senders.
	maxSenders = 32768
)

// sender is one run of a daemon.
type sender struct {
	addr        netip.AddrPort
	incarnation uint32
}

// history holds the newest stamps of a sender, in no order. Unused places are 0.
type history [rememberedStamps]int64

// replays recognizes packets that were accepted before.
type replays struct {
	senders   map[sender]*history
	nextSweep time.Time
}

// note records a packet. refused is true if it must not be accepted.
func (r *replays) note(now time.Time, from sender, stamp int64) (reason Reject, refused bool) {
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
		if known == stamp {
			return Replayed, true
		}
		if known < h[oldest] {
			oldest = i
		}
	}
	if stamp < h[oldest] {
		return Replayed, true
	}
	h[oldest] = stamp
	return 0, false
}

// sweep forgets senders whose newest packet is refused for its age by now.
func (r *replays) sweep(now time.Time) {
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
