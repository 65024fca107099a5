// Package dialect defines the headers with which callers, daemons and backend servers exchange
// metadata of requests and responses. Deployments whose callers and backend servers use other
// headers supply their own Dialect.
package dialect

// Dialect contains the header names and conventions of a deployment. A header whose name is empty
// is neither sent nor expected.
type Dialect struct {
	// RequestID identifies a request of a caller. Backend servers repeat it in the response, so
	// that a response to a different request is detected.
	RequestID string
	// TimeLeft is the time in milliseconds for which the sender still waits for the response.
	TimeLeft string
	// Depth counts the hops of a call chain. Attempt identifies a single attempt of a request; a
	// backend server may repeat it in the response.
	Depth, Attempt string
	// IdempotencyKey identifies the submissions of one request that is not idempotent, of which one runs.
	IdempotencyKey string
	// Expect identifies the incarnation of the backend server that is to run the request. Any other
	// one responds with status 421 and does not run it.
	Expect string
	// CallerService is the service of the instance at which the request originated. Daemons
	// overwrite any value that the client sent.
	CallerService string
	// Credentials is the header with the API key of a caller, behind the name of the scheme. Account is
	// the name of the client account of the caller. If the configuration has client accounts, daemons
	// remove both from each request and send Account with the name of the account.
	Credentials, Scheme string
	Account             string
	// Stamp is present in every response that a backend server produced by running the request.
	Stamp string
	// NotRun is present in every response of a backend server to a request that it did not run.
	NotRun string
	// Annotated adds verdict, version and number of attempts to the responses to callers.
	Annotated bool
	// FractionalSeconds means that callers accept fractions of a second in Retry-After.
	FractionalSeconds bool
	// UnsizedAnswers accepts responses without a declared length, which end when the connection is
	// closed.
	UnsizedAnswers bool
}

// EchoesRequestID reports whether backend servers repeat the request ID in every response.
func (d *Dialect) EchoesRequestID() bool { return d.Stamp != "" && d.RequestID != "" }

// Default is the dialect specified in docs/protocol.md.
var Default = Dialect{
	RequestID: "X-Request-Id",
	TimeLeft:  "Kingcupwood-Timeout",
	Depth:     "Kingcupwood-Depth",
	Attempt:   "Kingcupwood-Attempt",
	Annotated: true,

	IdempotencyKey: "Idempotency-Key",

	Credentials: "Authorization", Scheme: "Bearer", Account: "Kingcupwood-Account",
}
