package call

import (
	"net/http"
	"strings"
)

// Headers that a daemon sets on the request to the backend server, which passes them on when it
// calls another service.
const (
	// TimeoutHeader holds the time left in whole milliseconds.
	TimeoutHeader = "Kingcupwood-Timeout"
	// DepthHeader holds the number of daemons that the chain of calls has entered so far.
	DepthHeader = "Kingcupwood-Depth"
	// AttemptHeader holds the ID of the attempt on which the backend server works.
	AttemptHeader = "Kingcupwood-Attempt"
)

// hopHeaders concern one connection only or are set anew by each daemon, so that they are not passed on. The
// names are canonical.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Host": true, "Expect": true, TimeoutHeader: true, DepthHeader: true, AttemptHeader: true,
}

// IsHopHeader reports whether the header with a canonical name is not passed on. The length of the body
// is none of them, because the response to HEAD has one without a body.
func IsHopHeader(name string) bool { return hopHeaders[name] }

// ConnectionOptions returns the canonical names listed in the Connection header of h, which are not
// passed on either; nil if there are none.
func ConnectionOptions(h http.Header) map[string]bool {
	var listed map[string]bool
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			if listed == nil {
				listed = map[string]bool{}
			}
			listed[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return listed
}

// RemoveHopHeaders removes from h what is not passed on. The names in h are canonical.
func RemoveHopHeaders(h http.Header) {
	for name := range ConnectionOptions(h) {
		delete(h, name)
	}
	for name := range h {
		if hopHeaders[name] {
			delete(h, name)
		}
	}
}
