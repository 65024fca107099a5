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
	// lookupsPerSecond and lookupBurst limit the platform reads that requests with arbitrary
	// credentials can cause through one daemon.
	lookupsPerSecond = 20
	lookupBurst      = 40
	// freshFor is how long a cached credential gives access to the state of the daemon without
	// another lookup, so that frequent polling by a monitoring system causes few platform reads.
	freshFor = 5 * time.Second
	// cacheLifetime is how long a cached credential gives access to the state of the daemon while
	// the platform is unavailable. It also limits how long a revoked credential does so.
	cacheLifetime = 5 * time.Minute
	// maxCached is the greatest number of cached credentials.
	maxCached = 256
)

// authenticator looks up bearer tokens and caches the results. It stores SHA-256 digests of tokens,
// never the tokens.
type authenticator struct {
	platform Platform
	limiter  *rate.Limiter
	now      func() time.Time

	mu    sync.Mutex
	cache map[[sha256.Size]byte]cachedOperator
}

type cachedOperator struct {
	operator store.Operator
	expires  time.Time
}

func newAuthenticator(p Platform, now func() time.Time) *authenticator {
	return &authenticator{
		platform: p, now: now,
		limiter: rate.NewLimiter(lookupsPerSecond, lookupBurst),
		cache:   map[[sha256.Size]byte]cachedOperator{},
	}
}

// authenticate returns the operator who sent a request. With allowCached, a credential that was
// looked up less than freshFor ago is accepted without another lookup, and one that was looked up
// less than cacheLifetime ago is accepted while the platform is unavailable.
func (a *authenticator) authenticate(r *http.Request, allowCached bool) (store.Operator, error) {
	token, ok := bearerToken(r)
	if !ok {
		return store.Operator{}, store.ErrUnknownCredential
	}
	digest := sha256.Sum256([]byte(token))
	if allowCached {
		if cached, ok := a.lookUpCached(digest, cacheLifetime-freshFor); ok {
			return cached, nil
		}
	}
	if !a.limiter.Allow() {
		return store.Operator{}, &APIError{Status: http.StatusTooManyRequests, Code: CodeTooManyRequests, Message: "too many requests; try again in a second"}
	}
	operator, err := a.platform.Operator(r.Context(), token)
	var unavailable *store.UnavailableError
	switch {
	case err == nil:
		a.addToCache(digest, operator)
	case errors.Is(err, store.ErrUnknownCredential):
		a.removeFromCache(digest)
	case allowCached && errors.As(err, &unavailable):
		if cached, ok := a.lookUpCached(digest, 0); ok {
			return cached, nil
		}
	}
	return operator, err
}

func bearerToken(r *http.Request) (string, bool) {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	token = strings.TrimSpace(token)
	return token, strings.EqualFold(scheme, "Bearer") && token != ""
}

func (a *authenticator) addToCache(digest [sha256.Size]byte, operator store.Operator) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.cache) >= maxCached {
		clear(a.cache)
	}
	a.cache[digest] = cachedOperator{operator: operator, expires: a.now().Add(cacheLifetime)}
}

func (a *authenticator) removeFromCache(digest [sha256.Size]byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.cache, digest)
}

// lookUpCached returns the cached operator of a token digest, and whether the cache entry stays
// valid for longer than minRemaining.
func (a *authenticator) lookUpCached(digest [sha256.Size]byte, minRemaining time.Duration) (store.Operator, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	entry, ok := a.cache[digest]
	return entry.operator, ok && a.now().Add(minRemaining).Before(entry.expires)
}

type operatorKey struct{}

func operatorOf(ctx context.Context) store.Operator {
	operator, _ := ctx.Value(operatorKey{}).(store.Operator)
	return operator
}
