package store

import (
	"context"
	"net/http"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/smithy-go"
	smithyhttp "github.com/aws/smithy-go/transport/http"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"kingcupwood.example/kingcupwood/lib/event"
)

// attemptResult classifies the result of one attempt.
type attemptResult int

const (
	// succeeded: the platform confirmed the call.
	succeeded attemptResult = iota
	// conditionFailed: this attempt had no effect, but an earlier attempt of the same write may have.
	conditionFailed
	// rejected: the platform rejected the call permanently.
	rejected
	// ambiguous: no usable response; a write may have taken effect or may do so later.
	ambiguous
)

// transientCodes are the 4xx error codes of the platform after which a retry may succeed.
var transientCodes = map[string]bool{
	"ProvisionedThroughputExceededException": true,
	"ThrottlingException":                    true,
	"RequestLimitExceeded":                   true,
	"TransactionInProgressException":         true,
	"TransactionConflictException":           true,
	"ConditionalRequestConflict":             true,
	"SlowDown":                               true,
	"RequestTimeout":                         true,
}

// conditionCodes are the error codes for a failed condition of a single write.
var conditionCodes = map[string]bool{
	"ConditionalCheckFailedException": true,
	"PreconditionFailed":              true,
}

const reasonConditionFailed = "ConditionalCheckFailed"

func classify(err error) attemptResult {
	if err == nil {
		return succeeded
	}
	var cancelled *types.TransactionCanceledException
	if errors.As(err, &cancelled) {
		return classifyCancelled(cancelled)
	}
	var response *smithyhttp.ResponseError
	if errors.As(err, &response) && response.HTTPStatusCode() >= http.StatusInternalServerError {
		return ambiguous
	}
	var api smithy.APIError
	if !errors.As(err, &api) || transientCodes[api.ErrorCode()] {
		return ambiguous
	}
	if conditionCodes[api.ErrorCode()] {
		return conditionFailed
	}
	return rejected
}

func classifyCancelled(cancelled *types.TransactionCanceledException) attemptResult {
	for _, reason := range cancelled.CancellationReasons {
		if reason.Code != nil && *reason.Code == reasonConditionFailed {
			return conditionFailed
		}
	}
	return ambiguous
}

// retry runs a read or an idempotent write until it succeeds, is rejected or the attempts are used
// up. A failed condition is returned without a retry.
func (c *Client) retry(ctx context.Context, operation string, call func(ctx context.Context) error) error {
	var err error
	for n := range c.config.Attempts {
		err = c.attempt(ctx, call)
		if kind := classify(err); kind != ambiguous {
			return errors.Wrap(err, operation)
		}
		c.log.Log(event.PlatformReadRetried, zap.String("operation", operation), zap.Error(err))
		if n+1 == c.config.Attempts || !c.backOff(ctx, n) {
			break
		}
	}
	c.log.Log(event.PlatformUnavailable, zap.String("operation", operation), zap.Error(err))
	return &UnavailableError{Operation: operation, Err: err}
}

// writeState is the state of a write as found by reading it back.
type writeState int

const (
	// unresolved: the write is not visible, but it could still take effect.
	unresolved writeState = iota
	// applied: the write took effect.
	applied
	// superseded: the write did not take effect and never will.
	superseded
)

// conditionalWrite is a write with a token and a condition that prevents it from taking effect
// twice.
type conditionalWrite struct {
	operation string
	write     func(ctx context.Context) error
	// readBack looks for the token of the write. refused is true if the condition of the latest
	// attempt failed.
	readBack func(ctx context.Context, refused bool) (writeState, error)
	// endWithContext stops reading back when the context ends, for a write whose outcome is of no use
	// afterwards.
	endWithContext bool
}

// writeOnce executes w so that it takes effect at most once. After an ambiguous attempt it reads the
// token back, and retries the write only while it is unresolved. An unresolved result comes with an
// UnavailableError.
func (c *Client) writeOnce(ctx context.Context, w conditionalWrite) (writeState, error) {
	var last error
	for n := range c.config.Attempts {
		last = c.attempt(ctx, w.write)
		kind := classify(last)
		switch kind {
		case succeeded:
			return applied, nil
		case rejected:
			return superseded, errors.Wrap(last, w.operation)
		case ambiguous:
			c.log.Log(event.PlatformWriteAmbiguous, zap.String("operation", w.operation), zap.Error(last))
		}
		found, err := c.resolve(ctx, w, kind)
		if err != nil {
			last = err
			break
		}
		if found != unresolved {
			return found, nil
		}
		if n+1 == c.config.Attempts || !c.backOff(ctx, n) {
			break
		}
	}
	return unresolved, &UnavailableError{Operation: w.operation, MayHaveTakenEffect: true, Err: last}
}

// resolve reads back the token of w. Unless w.endWithContext is set, it continues after ctx has
// ended, because the operator needs the outcome of a write that was sent; the retry limit bounds
// the time.
func (c *Client) resolve(ctx context.Context, w conditionalWrite, kind attemptResult) (writeState, error) {
	if !w.endWithContext {
		ctx = context.WithoutCancel(ctx)
	}
	found, err := w.readBack(ctx, kind == conditionFailed)
	if err == nil && found == applied {
		c.log.Log(event.PlatformWriteResolved, zap.String("operation", w.operation))
	}
	return found, err
}
