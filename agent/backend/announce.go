package backend

import (
	"encoding/json"
	"io"
	"net/http"
	"net/netip"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

// AnnouncePath is the path at which backend servers announce themselves with PUT.
const AnnouncePath = "/v1/announce"

// maxAnnouncementBytes limits the body of an announcement.
const maxAnnouncementBytes = 4 << 10

// Announcement is what a backend server says about itself, in JSON, once a second.
type Announcement struct {
	Service string `json:"service"`
	// Address is the "ip:port" at which the backend server accepts HTTP/1.1.
	Address string `json:"address"`
	// State is "starting", "ready" or "draining".
	State string `json:"state"`
	// Slots is the number of requests that it runs at once, Connections the number of connections
	// that it accepts.
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
}

// announced is a checked announcement.
type announced struct {
	Announcement
	state endpoint.State
}

func parseAnnouncement(body io.Reader) (announced, error) {
	var a announced
	decoder := json.NewDecoder(io.LimitReader(body, maxAnnouncementBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&a.Announcement); err != nil {
		return a, errors.Wrap(err, "body is not an announcement")
	}
	if a.Service == "" {
		return a, errors.New("service is missing")
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return a, errors.Errorf("address %q is not ip:port", a.Address)
	}
	state, ok := endpoint.ParseState(a.State)
	if !ok || state == endpoint.Gone {
		return a, errors.Errorf("state %q is not starting, ready or draining", a.State)
	}
	if a.Slots < 1 || a.Connections < 1 {
		return a, errors.Errorf("slots %d and connections %d must be at least 1", a.Slots, a.Connections)
	}
	a.state = state
	return a, nil
}

// Announcements returns the handler of PUT /v1/announce. It answers 204, or 400 with the reason if
// the announcement is invalid; an invalid one changes nothing.
func (b *Backend) Announcements() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+AnnouncePath, func(w http.ResponseWriter, r *http.Request) {
		a, err := parseAnnouncement(r.Body)
		if err != nil {
			b.log.Log(event.AnnounceRejected, zap.Error(err))
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		b.announce(a)
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}
