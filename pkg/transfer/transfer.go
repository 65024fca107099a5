// Package transfer schedules large request bodies on the network link of an instance. Bodies that
// are sent without coordination fill the queue in front of a narrow link, and small requests wait
// behind them for longer than their deadlines. The receiving instance therefore grants each body a
// time and a rate, which leaves a part of the link free. The package performs no I/O and starts no
// goroutines.
package transfer

import (
	"fmt"
	"sync"
	"time"

	"kingcupwood.example/kingcupwood/pkg/verdict"
)

// linkShare is the share of the link that is granted to large bodies. The rest is left to small
// requests, responses, traffic between daemons and packet headers.
const linkShare = 0.75

// Refusal is the error of a body that was not granted. The request has not run; verdict.Of gives
// verdict.NotRun for it.
type Refusal struct {
	// Wait is the time until the body could be sent.
	Wait time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("the link is busy with other bodies for %s", r.Wait.Round(time.Millisecond))
}

// As lets errors.As find the verdict of the error.
func (r *Refusal) As(target any) bool {
	if e, ok := target.(**verdict.Error); ok {
		*e = &verdict.Error{Verdict: verdict.NotRun, Err: r}
		return true
	}
	return false
}

// Request describes a body that a sender wants to send.
type Request struct {
	Bytes int
	// FinishBy is the time by which the body must have arrived.
	FinishBy time.Time
	// MaxWait is the longest wait that the sender accepts; zero means no limit.
	MaxWait time.Duration
}

// Grant allows a body to be sent.
type Grant struct {
	// Wait is the time after which the body may be sent.
	Wait time.Duration
	// BytesPerSecond is the rate at which the body is to be sent.
	BytesPerSecond int
	length         time.Duration
}

// Scheduler grants the bodies that are sent to one instance. Its methods may be called concurrently.
type Scheduler struct {
	bytesPerSecond float64 // of the link

	mu sync.Mutex
	// granted is the time until which the link is granted to bodies.
	granted time.Time
}

// New returns a Scheduler for a link with the given rate, which must be positive.
func New(bytesPerSecond float64) *Scheduler { return &Scheduler{bytesPerSecond: bytesPerSecond} }

// Reserve grants the next free time of the link to a body, in order of arrival. It refuses, with a
// *Refusal, a body that would arrive too late or wait for too long; such a body takes no time of the
// link.
func (s *Scheduler) Reserve(r Request, now time.Time) (Grant, error) {
	rate := linkShare * s.bytesPerSecond
	length := duration(float64(r.Bytes), rate)
	s.mu.Lock()
	defer s.mu.Unlock()
	start := s.granted
	if start.Before(now) {
		start = now
	}
	wait := start.Sub(now)
	if r.MaxWait > 0 && wait > r.MaxWait || start.Add(length).After(r.FinishBy) {
		return Grant{}, &Refusal{Wait: wait}
	}
	s.granted = start.Add(length)
	return Grant{Wait: wait, BytesPerSecond: max(int(rate), 1), length: length}, nil
}

// Cancel returns the time granted to a body that was not sent. Bodies that are already granted keep
// their times; later ones start earlier.
func (s *Scheduler) Cancel(g Grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.granted = s.granted.Add(-g.length)
}

func duration(bytes, bytesPerSecond float64) time.Duration {
	return time.Duration(bytes / bytesPerSecond * float64(time.Second))
}

// chunkBytes is the part of a body that is sent at once. A small request waits behind at most one
// chunk of each body on the link.
const chunkBytes = 8 << 10

// minPause is the shortest pause between two chunks; shorter ones are beyond the resolution of
// timers and cost a wake-up each.
const minPause = 2 * time.Millisecond

// Pacer divides a body into chunks.
type Pacer struct {
	bytesPerSecond float64
	started        time.Time
	sent           int
}

// NewPacer returns a Pacer for a body that is sent from now on at the given rate.
func NewPacer(bytesPerSecond int, now time.Time) *Pacer {
	return &Pacer{bytesPerSecond: float64(bytesPerSecond), started: now}
}

// Next returns the number of bytes to send next out of those left, and the time to wait before
// sending them. A sender that was delayed does not catch up with a burst of more than one chunk per
// call.
func (p *Pacer) Next(left int, now time.Time) (bytes int, wait time.Duration) {
	bytes = min(left, max(chunkBytes, int(p.bytesPerSecond*minPause.Seconds())))
	due := p.started.Add(duration(float64(p.sent), p.bytesPerSecond))
	p.sent += bytes
	if late := now.Sub(due); late > 0 {
		p.started = p.started.Add(late)
		return bytes, 0
	}
	return bytes, due.Sub(now)
}
