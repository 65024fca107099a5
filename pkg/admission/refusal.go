package admission

import (
	"fmt"
	"time"

	"kingcupwood.example/kingcupwood/pkg/verdict"
)

// Reason is the reason for a refusal.
type Reason uint8

// The reasons for a refusal. A refused request has not run and never will.
const (
	// ReasonQueueFull means that the queue is full of requests of higher precedence.
	ReasonQueueFull Reason = iota + 1
	// ReasonEvicted means that the request was removed from a full queue for one of higher precedence.
	ReasonEvicted
	// ReasonDeadline means that the deadline passed, or could not be met after the estimated wait.
	ReasonDeadline
	// ReasonDraining means that the instance accepts no new work.
	ReasonDraining
	// ReasonCancelled means that the context ended while the request was waiting.
	ReasonCancelled
	// ReasonBusy means that the estimated wait for a slot exceeds Request.MaxWait.
	ReasonBusy
)

var reasonNames = [...]string{
	ReasonQueueFull: "queue full",
	ReasonEvicted:   "evicted by more urgent work",
	ReasonDeadline:  "deadline cannot be met",
	ReasonDraining:  "draining",
	ReasonCancelled: "cancelled while waiting",
	ReasonBusy:      "no slot is free soon",
}

// String returns the text of r.
func (r Reason) String() string {
	if int(r) < len(reasonNames) && reasonNames[r] != "" {
		return reasonNames[r]
	}
	return fmt.Sprintf("reason(%d)", uint8(r))
}

// Refusal is the error of a request that was not admitted. verdict.Of gives verdict.NotRun for it.
type Refusal struct {
	Reason Reason
	// RetryAfter is the time after which a new attempt at this instance may succeed. It is zero if
	// the request should be sent to another instance at once.
	RetryAfter time.Duration
	// OverShare means that the client account of the request uses more than its fair share of the slots, so that
	// the request had to wait behind those of other accounts.
	OverShare bool
}

// Error implements error.
func (r *Refusal) Error() string {
	text := "request refused: " + r.Reason.String()
	if r.OverShare {
		text += ", the account is over its share"
	}
	if r.RetryAfter <= 0 {
		return text
	}
	return fmt.Sprintf("%s, retry after %s", text, r.RetryAfter)
}

// NotRun returns the refusal as an error of the request path.
func (r *Refusal) NotRun() *verdict.Error {
	return &verdict.Error{Verdict: verdict.NotRun, Err: r}
}

// As lets errors.As find the verdict of a refusal that was not converted with NotRun.
func (r *Refusal) As(target any) bool {
	if e, ok := target.(**verdict.Error); ok {
		*e = r.NotRun()
		return true
	}
	return false
}
