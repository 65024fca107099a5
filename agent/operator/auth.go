package operator

import (
	"context"
	"crypto/sha256"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"kingcupwood.example/kingcupwood/agent/store"
)

const (
	// lookupsPerSecond and lookupBurst bound the platform reads that requests with arbitrary
	// credentials can cause on one daemon.
	lookupsPerSecond = 20
	lookupBurst      = 40
	// freshFor is how long a credential gives access to the state of the daemon without another
	// lookup, so that a monitor that asks often costs the platform no reads.
	freshFor = 5 * time.Second
	// rememberFor is how long a credential still gives access to the state of the daemon while the
	// platform is unavailable. It also bounds how long a revoked credential does so.
	rememberFor = 5 * time.Minute
	// maxRemembered bounds the remembered credentials.
	maxRemembered = 256
)

// authenticator looks up bearer tokens. It holds SHA-256 digests of tokens, never tokens.
type authenticator struct {
	platform Platform
	limiter  *rate.Limiter
	now      func() time.Time

	mu         sync.Mutex
	remembered map[[sha256.Size]byte]remembered
}

type remembered struct {
	operator store.Operator
	until    time.Time
}

func newAuthenticator(p Platform, now func() time.Time) *authenticator {
	return &authenticator{
		platform: p, now: now,
		limiter:    rate.NewLimiter(lookupsPerSecond, lookupBurst),
		remembered: map[[sha256.Size]byte]remembered{},
	}
}

// authenticate returns the operator of a request. With offline, a recently used credential is
// accepted while the platform is unavailable.
func (a *authenticator) authenticate(r *http.Request, offline bool) (store.Operator, error) {
	token, ok := bearerToken(r)
	if !ok {
		return store.Operator{}, store.ErrUnknownCredential
	}
	digest := sha256.Sum256([]byte(token))
	if offline {
		if known, ok := a.recall(digest, rememberFor-freshFor); ok {
			return known, nil
		}
	}
	if !a.limiter.Allow() {
		return store.Operator{}, &APIError{Status: http.StatusTooManyRequests, Code: CodeTooManyRequests, Message: "too many requests; try again in a second"}
	}
	operator, err := a.platform.Operator(r.Context(), token)
	var unavailable *store.UnavailableError
	switch {
	case err == nil:
		a.remember(digest, operator)
	case errors.Is(err, store.ErrUnknownCredential):
		a.forget(digest)
	case offline && errors.As(err, &unavailable):
		if known, ok := a.recall(digest, 0); ok {
			return known, nil
		}
	}
	return operator, err
}

func bearerToken(r *http.Request) (string, bool) {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	token = strings.TrimSpace(token)
	return token, strings.EqualFold(scheme, "Bearer") && token != ""
}

func (a *authenticator) remember(digest [sha256.Size]byte, operator store.Operator) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.remembered) >= maxRemembered {
		clear(a.remembered)
	}
	a.remembered[digest] = remembered{operator: operator, until: a.now().Add(rememberFor)}
}

func (a *authenticator) forget(digest [sha256.Size]byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.remembered, digest)
}

// recall returns a remembered operator whose credential can be used for longer than left.
func (a *authenticator) recall(digest [sha256.Size]byte, left time.Duration) (store.Operator, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	known, ok := a.remembered[digest]
	return known.operator, ok && a.now().Add(left).Before(known.until)
}

type operatorKey struct{}

func operatorOf(ctx context.Context) store.Operator {
	operator, _ := ctx.Value(operatorKey{}).(store.Operator)
	return operator
}
