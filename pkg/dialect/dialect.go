// Package dialect holds the names of the headers by which callers, daemons and backend servers mark
// requests and answers. Deployments whose callers and servers speak otherwise bring a Dialect of their own.
package dialect

// Dialect names the headers of one deployment. A mark without a name is neither sent nor expected.
type Dialect struct {
	// RequestID identifies one request of a caller. A backend server repeats it in its answer, so that
	// an answer to another request is noticed.
	RequestID string
	// TimeLeft is the time in milliseconds for which the sender waits for the answer.
	TimeLeft string
	// Depth counts the hops of a chain of calls, Attempt names one transmission of a request.
	Depth, Attempt string
	// Expect names the lifetime of the backend server that is to run the request; any other one answers
	// with status 421 and does not run it.
	Expect string
	// CallerService names the service of the instance on which the request began. Daemons set it whatever was
	// sent.
	CallerService string
	// Stamp is on each answer that a backend server has made by running a request.
	Stamp string
	// NotRun is on each answer of a backend server to a request that it has not run.
	NotRun string
	// Annotated tells that answers to callers carry verdict, version and number of attempts.
	Annotated bool
	// FractionalSeconds tells that callers read fractions in Retry-After.
	FractionalSeconds bool
	// UnsizedAnswers tells that an answer may have no length and end with its connection.
	UnsizedAnswers bool
}

// Default is the dialect of docs/protocol.md.
var Default = Dialect{
	RequestID: "X-Request-Id",
	TimeLeft:  "Kingcupwood-Timeout",
	Depth:     "Kingcupwood-Depth",
	Attempt:   "Kingcupwood-Attempt",
	Annotated: true,
}
