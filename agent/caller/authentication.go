package caller

import (
	"expvar"
	"net/http"
	"strings"

	"go.uber.org/zap"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// authenticationMetrics counts the requests that arrived while the configuration had client accounts by
// the outcome of their authentication.
type authenticationMetrics struct {
	// account, ownInstance and public count admitted requests: with a known key, from the backend
	// server of this instance, and without a key on a public route.
	account, ownInstance, public expvar.Int
	// malformed, unknownKey and noKey count requests refused on arrival, withdrawn those refused while
	// they waited.
	malformed, unknownKey, noKey, withdrawn expvar.Int
}

func (m *authenticationMetrics) vars() expvar.Var {
	all := new(expvar.Map).Init()
	all.Set("account", &m.account)
	all.Set("own_instance", &m.ownInstance)
	all.Set("public", &m.public)
	all.Set("malformed", &m.malformed)
	all.Set("unknown_key", &m.unknownKey)
	all.Set("no_key", &m.noKey)
	all.Set("withdrawn", &m.withdrawn)
	return all
}

// authenticate sets the account of e by the API key of r. A key that does not identify an account is
// refused on every route, so that a caller learns of a wrong or withdrawn key at once.
func (h *Handler) authenticate(e *exchange, r *http.Request) *refusal {
	if !e.snap.HasAccounts() {
		return nil
	}
	key, found, ok := apiKey(r, h.config.Dialect.Credentials, h.config.Dialect.Scheme)
	switch {
	case !ok:
		h.metrics.authentication.malformed.Add(1)
		return h.unauthorized("the header %s is not one API key with the scheme %s", h.config.Dialect.Credentials, h.config.Dialect.Scheme)
	case !found:
		return nil // authorize decides by the route
	}
	e.keyHash = snapshot.HashKey(key)
	if e.account = e.snap.AccountByKey(e.keyHash); e.account == nil {
		h.metrics.authentication.unknownKey.Add(1)
		return h.unauthorized("API key %s belongs to no account", e.keyHash.Short())
	}
	h.metrics.authentication.account.Add(1)
	return nil
}

// authorize refuses a request without an account, unless its route is public or it was sent by the
// backend server of this instance: calls of backend servers carry no key.
func (h *Handler) authorize(e *exchange) *refusal {
	switch {
	case !e.snap.HasAccounts() || e.account != nil:
	case e.fromOwnInstance:
		h.metrics.authentication.ownInstance.Add(1)
	case e.public:
		h.metrics.authentication.public.Add(1)
	default:
		h.metrics.authentication.noKey.Add(1)
		return h.unauthorized("the request has no API key")
	}
	return nil
}

// apiKey returns the API key of r. found is false if there is none, ok if the header is not exactly one
// key behind the name of the scheme.
func apiKey(r *http.Request, name, scheme string) (key string, found, ok bool) {
	if name == "" {
		return "", false, true
	}
	values := r.Header.Values(name)
	if len(values) == 0 {
		return "", false, true
	}
	given, key, _ := strings.Cut(values[0], " ")
	key = strings.TrimSpace(key)
	return key, true, len(values) == 1 && strings.EqualFold(given, scheme) && key != ""
}

// unauthorized returns the refusal of a request whose caller is not authenticated.
func (h *Handler) unauthorized(format string, args ...any) *refusal {
	f := refuse(http.StatusUnauthorized, format, args...).by(checkAuthentication)
	f.challenge, f.fixedRetryAfter = h.config.Dialect.Scheme, true
	return f
}

// replaceCredentials removes from header what the caller says about its account, and adds the account as
// authenticated. Without accounts, both headers have no meaning here and are forwarded.
func (h *Handler) replaceCredentials(e *exchange, header http.Header) {
	if !e.snap.HasAccounts() {
		return
	}
	marks := h.config.Dialect
	header.Del(marks.Credentials)
	header.Del(marks.Account)
	if e.account != nil && marks.Account != "" {
		header.Set(marks.Account, e.account.Name)
	}
}

// rankOf returns the rank of a request of the given kind.
func (e *exchange) rankOf(kind *snapshot.Kind) int {
	if e.account != nil && e.account.Rank > 0 {
		return e.account.Rank
	}
	return kind.Rank
}

// checkAccount refuses a request whose key was withdrawn, or given to another account, since it arrived.
// It is called before each attempt, because a request may have waited.
func (h *Handler) checkAccount(e *exchange) *refusal {
	if e.account == nil {
		return nil
	}
	snap := h.config.Snapshot()
	if snap == e.snap || !snap.HasAccounts() {
		return nil
	}
	if now := snap.AccountByKey(e.keyHash); now != nil && now.Name == e.account.Name {
		return nil
	}
	h.metrics.authentication.withdrawn.Add(1)
	h.config.Log.LogRejection(event.KeyWithdrawn, func() []zap.Field {
		return []zap.Field{
			zap.String("request", e.id), zap.String("account", e.account.Name), zap.String("key", e.keyHash.Short()),
			zap.Uint64("arrived_version", uint64(e.snap.Version)), zap.Uint64("version", uint64(snap.Version)),
		}
	})
	return h.unauthorized("API key %s was withdrawn while the request waited", e.keyHash.Short())
}

// accountName returns the name of the account of e, empty if it has none.
func (e *exchange) accountName() string {
	if e.account == nil {
		return ""
	}
	return e.account.Name
}
