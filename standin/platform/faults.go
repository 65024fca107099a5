package platform

import (
	"sync"
	"time"
)

// Store identifies one of the two stores.
type Store string

const (
	Table   Store = "table"
	Objects Store = "objects"
)

// FaultKind is the way in which an affected request fails.
type FaultKind string

const (
	// Outage rejects the request with status 503; it has no effect.
	Outage FaultKind = "outage"
	// Slow delays the request. It takes effect after the delay even if the client has
	// disconnected.
	Slow FaultKind = "slow"
	// LoseResponse lets the request take effect, then closes the connection without a response.
	LoseResponse FaultKind = "lose-response"
)

// Operations selects the requests that a fault affects.
type Operations string

const (
	AllOperations Operations = ""
	OnlyReads     Operations = "reads"
	OnlyWrites    Operations = "writes"
)

// Fault is one injected fault of a store.
type Fault struct {
	Store      Store      `json:"store"`
	Kind       FaultKind  `json:"kind"`
	Operations Operations `json:"operations,omitempty"`
	// DelayMS is the delay of a Slow fault in milliseconds.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// Count is the number of requests to affect; zero affects all requests until the fault is cleared.
	Count int `json:"count,omitempty"`
}

// check validates the fault.
func (f Fault) check() error {
	if f.Store != Table && f.Store != Objects {
		return invalid("unknown store %q", f.Store)
	}
	if f.Kind != Outage && f.Kind != Slow && f.Kind != LoseResponse {
		return invalid("unknown fault kind %q", f.Kind)
	}
	if f.Operations != AllOperations && f.Operations != OnlyReads && f.Operations != OnlyWrites {
		return invalid("unknown operations %q", f.Operations)
	}
	if f.Count < 0 || f.DelayMS < 0 || f.DelayMS > 0 != (f.Kind == Slow) {
		return invalid("delay_ms must be positive for a slow fault and zero for others; count must not be negative")
	}
	return nil
}

// activeFault is an injected fault. The channel cleared is closed when the fault is removed, which
// ends the delays in progress.
type activeFault struct {
	Fault
	remaining int
	cleared   chan struct{}
}

func (f *activeFault) affects(store Store, isWrite bool) bool {
	if f.Store != store {
		return false
	}
	return f.Operations == AllOperations || (f.Operations == OnlyWrites) == isWrite
}

// wait blocks until the delay has elapsed or the fault is cleared.
func (f *activeFault) wait() {
	timer := time.NewTimer(time.Duration(f.DelayMS) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.cleared:
	}
}

// faults holds the injected faults.
type faults struct {
	mu     sync.Mutex
	active []*activeFault
}

func (f *faults) add(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = append(f.active, &activeFault{Fault: fault, remaining: fault.Count, cleared: make(chan struct{})})
}

// clear removes all faults and releases delayed requests.
func (f *faults) clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, fault := range f.active {
		close(fault.cleared)
	}
	f.active = nil
}

// take returns the first fault that affects the request and decrements its remaining count. It
// returns nil if no fault applies.
func (f *faults) take(store Store, isWrite bool) *activeFault {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, fault := range f.active {
		if !fault.affects(store, isWrite) || fault.Count > 0 && fault.remaining == 0 {
			continue
		}
		if fault.Count > 0 {
			fault.remaining--
		}
		return fault
	}
	return nil
}

// Counts holds the numbers of requests that one store received, including rejected ones.
type Counts struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
	// PeakReads and PeakWrites are the highest numbers received within one wall-clock second.
	PeakReads  uint64 `json:"peak_reads_per_second"`
	PeakWrites uint64 `json:"peak_writes_per_second"`
}

// counter counts the requests to one store, in total and for the current second.
type counter struct {
	mu            sync.Mutex
	total         Counts
	second        int64
	reads, writes uint64
}

func (c *counter) add(now time.Time, isWrite bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if second := now.Unix(); second != c.second {
		c.second, c.reads, c.writes = second, 0, 0
	}
	if isWrite {
		c.total.Writes++
		c.writes++
	} else {
		c.total.Reads++
		c.reads++
	}
	c.total.PeakReads = max(c.total.PeakReads, c.reads)
	c.total.PeakWrites = max(c.total.PeakWrites, c.writes)
}

func (c *counter) counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total
}
