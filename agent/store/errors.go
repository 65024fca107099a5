package store

import (
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// ErrUnknownCredential means that the bearer token is missing or belongs to no operator.
var ErrUnknownCredential = errors.New("the credential is missing or unknown")

// UnavailableError means that the platform gave no usable response within the retry limit.
type UnavailableError struct {
	Operation string
	// MayHaveTakenEffect is true for a write whose outcome could not be resolved.
	MayHaveTakenEffect bool
	Err                error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	if e.MayHaveTakenEffect {
		return fmt.Sprintf("%s: the outcome is not known yet: %v", e.Operation, e.Err)
	}
	return fmt.Sprintf("%s: the platform is unavailable: %v", e.Operation, e.Err)
}

// Unwrap returns the last error of the platform.
func (e *UnavailableError) Unwrap() error { return e.Err }

// ConflictError means that the head is not at the version on which the operator based the change.
type ConflictError struct {
	Seen    snapshot.Version
	Current snapshot.Version
	// Changes lists the latest changes after Seen, oldest first, at most MaxConflictChanges.
	Changes []Change
}

// Error implements error.
func (e *ConflictError) Error() string {
	lines := []string{fmt.Sprintf("not accepted: version %d is in force, not %d", e.Current, e.Seen)}
	for _, c := range e.Changes {
		lines = append(lines, c.String())
	}
	return strings.Join(lines, "\n")
}

// DraftChangedError means that the draft of a service was replaced by another submission.
type DraftChangedError struct {
	Service string
	// Current is the draft that replaced it.
	Current Draft
}

// Error implements error.
func (e *DraftChangedError) Error() string {
	return fmt.Sprintf("not accepted: the draft of %s was replaced by %s with %s", e.Service, e.Current.Operator, e.Current.Hash.String())
}

// InvalidError means that a configuration or a request is invalid; nothing was written.
type InvalidError struct {
	// Reasons has one line for each fault.
	Reasons []string
}

// Error implements error.
func (e *InvalidError) Error() string { return "invalid: " + strings.Join(e.Reasons, "\n") }

func invalidError(err error) error {
	return &InvalidError{Reasons: strings.Split(strings.TrimSpace(err.Error()), "\n")}
}

// ForbiddenError means that an operator is not permitted to revise a service.
type ForbiddenError struct{ Operator, Service string }

// Error implements error.
func (e *ForbiddenError) Error() string {
	return fmt.Sprintf("operator %s may not revise service %s", e.Operator, e.Service)
}

// NotFoundError means that the requested row or object does not exist in the platform.
type NotFoundError struct{ What string }

// Error implements error.
func (e *NotFoundError) Error() string { return e.What + " does not exist" }

// NoChangeError means that a change would not alter the configuration of the service.
type NoChangeError struct{ Service string }

// Error implements error.
func (e *NoChangeError) Error() string {
	return "this configuration of " + e.Service + " is already in force"
}

// TokenReusedError means that a change token was already used for a different change.
type TokenReusedError struct{ Earlier Change }

// Error implements error.
func (e *TokenReusedError) Error() string {
	return "the change token was already used: " + e.Earlier.String()
}

// CorruptError means that the content of an object does not match the hash in its key.
type CorruptError struct{ Key string }

// Error implements error.
func (e *CorruptError) Error() string { return "object " + e.Key + " does not match its hash" }

// LeaseHeldError means that the lease is held by another holder.
type LeaseHeldError struct {
	Name, Holder string
	Expires      time.Time
}

// Error implements error.
func (e *LeaseHeldError) Error() string {
	return fmt.Sprintf("lease %s is held by %s until %s", e.Name, e.Holder, e.Expires.Format(time.RFC3339))
}

// LeaseLostError means that the fencing token of a lease is no longer current, or that the lease
// has expired or was released; the write was not applied.
type LeaseLostError struct {
	Name, Holder string
	Token        uint64
}

// Error implements error.
func (e *LeaseLostError) Error() string {
	return fmt.Sprintf("lease %s with token %d is no longer held by %s", e.Name, e.Token, e.Holder)
}
