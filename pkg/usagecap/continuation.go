package usagecap

import (
	"math"
	"time"
)

const (
	// useSpan is the span over which the use of an account is measured for a continuation.
	useSpan = 3 * time.Second
	// levelValid is the time for which the level of a reply is valid.
	levelValid = 10 * time.Second
	// wellBelowLevel is the percentage of the owner's bucket from which an account counts as well below its cap.
	wellBelowLevel = 50
	// continueRate is the rate of a continuation relative to the use before, and continueAtOnce the number of requests
	// that pass at once: at exactly the mean rate, requests at random times are refused about half of the time.
	continueRate   = 1.2
	continueAtOnce = 2
	// continueShare is the part of the tolerance for requests that pass without the owner. Half of it is used by the
	// tokens that are lent.
	continueShare = 0.25
)

// EndWait notes that a request has waited for MaxWait. If no reply came in that time, the owner counts as absent. The
// second query may have been sent later than after QueryTimeout, and its own timeout would come too late.
func (p *Balance) EndWait(now Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Since(p.repliedAt) >= MaxWait {
		p.setAbsent(now)
	}
}

// use counts a request.
func (p *Balance) use() {
	p.used++
	p.spent++
}

// advanceSpan begins another span of the measured use.
func (p *Balance) advanceSpan(now Instant) {
	if age := now.Since(p.spanFrom); age >= 2*useSpan {
		p.spent, p.spentBefore, p.spanFrom = 0, 0, now
	} else if age >= useSpan {
		p.spent, p.spentBefore, p.spanFrom = 0, p.spent, p.spanFrom.Add(useSpan)
	}
}

// recentRate returns the requests per second in the last one or two spans.
func (p *Balance) recentRate(now Instant) float64 {
	span := min(useSpan+now.Since(p.spanFrom), 2*useSpan)
	return float64(p.spent+p.spentBefore) / span.Seconds()
}

// continueMost returns the largest number of requests that pass without the owner. It may lend its whole bucket on the
// other side of a partition, and the full rate until it has reduced its share. From then on, what it leaves of the rate
// to this side and a part of the tolerance are divided by the daemons, since none knows on which side the others are.
// The remainder below one request is one with that probability.
func (p *Balance) continueMost() float64 {
	left := p.limit.Rate * (p.bounds.Window - partitionTime).Seconds()
	part := p.fleet.Lone() * (max(0, left) + continueShare*p.bounds.Tolerance(p.limit))
	chance := float64(mix(p.hash^p.fleet.self^uint64(p.absentAt.Mono))>>11) / (1 << 53)
	return math.Floor(part + chance)
}

// noteLevel takes the level of the owner's bucket from a reply. A continuation that has begun is shortened if the
// account has come near its cap.
func (p *Balance) noteLevel(now Instant, level uint8) {
	p.level, p.levelAt = level, now
	if level < wellBelowLevel {
		p.continueFor = min(p.continueFor, p.bounds.continuation())
	}
}

// wellBelow reports whether the last reply showed that the account was well below its cap, so that the burst and the
// unused rate are a reserve for a longer continuation.
func (p *Balance) wellBelow(now Instant) bool {
	return p.level >= wellBelowLevel && now.Since(p.levelAt) < levelValid
}
