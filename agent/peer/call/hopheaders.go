package call

import (
	"net/http"
	"strings"
)

// Headers that a daemon sets on the request to the backend server. The backend server forwards them
// when it calls another service.
const (
	// TimeoutHeader holds the remaining time in whole milliseconds.
	TimeoutHeader = "Kingcupwood-Timeout"
	// DepthHeader holds the number of daemons that the call chain has passed so far.
	DepthHeader = "Kingcupwood-Depth"
	// AttemptHeader holds the ID of the attempt that the backend server is processing.
	AttemptHeader = "Kingcupwood-Attempt"
)

// hopHeaders are the canonical names of headers that are not forwarded, because they apply to a
// single connection or are set by each daemon.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Host": true, "Expect": true, TimeoutHeader: true, DepthHeader: true, AttemptHeader: true,
}

// IsHopHeader reports whether the header with the given canonical name is not forwarded.
// Content-Length is forwarded, because the response to HEAD has one without a body.
func IsHopHeader(name string) bool { return hopHeaders[name] }

// ConnectionOptions returns the canonical names listed in the Connection header of h, which are not
// forwarded either; nil if there are none.
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

// RemoveHopHeaders removes the headers that are not forwarded from h. The names in h must be
// canonical.
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
