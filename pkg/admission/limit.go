package admission

import "time"

const (
	// adjustInterval is the time between two changes of the limit. It is long enough for a change to
	// affect the service times of short requests.
	adjustInterval = 250 * time.Millisecond
	// minSamples is the number of samples below which the mean of an interval is ignored.
	minSamples = 5
	// slowRatio is the mean of observed over declared service time from which the limit is lowered.
	slowRatio = 2.0
	// recoveredRatio is the mean below which the limit is raised again. It is lower than slowRatio to
	// prevent oscillation.
	recoveredRatio = 1.5
	// maxSlowness bounds the effect of slow requests on the load, as samples may be outliers.
	maxSlowness = 4.0
)

// limiter derives the number of usable slots from the declared number and the observed outcomes.
// Shed requests prove that the backend server accepts fewer requests, so they may lower the limit
// down to 1. Slow requests may have causes other than concurrency, where a lower limit only costs
// throughput, so they lower it to no less than half of the declared slots.
type limiter struct {
	declared int
	limit    int
	start    time.Time
	samples  int
	ratios   float64
	shed     bool
	// slowness is the smoothed ratio of observed to declared service time.
	slowness float64
}

func newLimiter(declared int, now time.Time) limiter {
	return limiter{declared: declared, limit: declared, start: now, slowness: 1}
}

// declare changes the declared slots. The reduction derived from observed outcomes is kept.
func (l *limiter) declare(slots int) {
	l.limit = min(max(l.limit+slots-l.declared, 1), slots)
	l.declared = slots
}

func (l *limiter) observe(declared, observed time.Duration) {
	if declared <= 0 || observed <= 0 {
		return
	}
	ratio := float64(observed) / float64(declared)
	l.samples++
	l.ratios += ratio
	l.slowness += smoothing * (ratio - l.slowness)
}

// adjust changes the limit by one step if the interval is over.
func (l *limiter) adjust(now time.Time) {
	if now.Sub(l.start) < adjustInterval {
		return
	}
	switch {
	case l.shed:
		l.limit = max(1, min(l.limit-1, l.limit*3/4))
	case l.samples >= minSamples && l.mean() > slowRatio:
		l.limit = min(l.limit, max(l.slowFloor(), l.limit-1))
	case l.samples < minSamples || l.mean() < recoveredRatio:
		l.limit = min(l.declared, l.limit+1)
	}
	l.start, l.samples, l.ratios, l.shed = now, 0, 0, false
}

// capacity returns the effective number of slots, reduced if requests hold them longer than
// declared.
func (l *limiter) capacity() float64 {
	return float64(l.limit) / min(max(l.slowness, 1), maxSlowness)
}

func (l *limiter) mean() float64  { return l.ratios / float64(max(l.samples, 1)) }
func (l *limiter) slowFloor() int { return (l.declared + 1) / 2 }
