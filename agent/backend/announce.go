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
	// ID names the lifetime of the backend server and may be empty. StartedMS is the Unix time of its
	// start in milliseconds and Sequence grows with each announcement of a lifetime; with them, an
	// announcement that arrives late is recognized. Zero means not stated.
	ID        string `json:"id,omitempty"`
	StartedMS int64  `json:"started_ms,omitempty"`
	Sequence  uint64 `json:"-"`
}

// announced is a checked announcement.
type announced struct {
	Announcement
	state endpoint.State
}

func parseAnnouncement(body io.Reader) (announced, error) {
	var a Announcement
	decoder := json.NewDecoder(io.LimitReader(body, maxAnnouncementBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&a); err != nil {
		return announced{}, errors.Wrap(err, "body is not an announcement")
	}
	return checkAnnouncement(a)
}

func checkAnnouncement(a Announcement) (announced, error) {
	checked := announced{Announcement: a}
	if a.Service == "" {
		return checked, errors.New("service is missing")
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return checked, errors.Errorf("address %q is not ip:port", a.Address)
	}
	state, ok := endpoint.ParseState(a.State)
	if !ok || state == endpoint.Gone {
		return checked, errors.Errorf("state %q is not starting, ready or draining", a.State)
	}
	if a.Slots < 1 || a.Connections < 1 {
		return checked, errors.Errorf("slots %d and connections %d must be at least 1", a.Slots, a.Connections)
	}
	checked.state = state
	return checked, nil
}

// Announce takes over an announcement. One that is older than what is known of the backend server, or
// that follows its leave, changes nothing. It returns an error for an invalid one, which changes nothing
// either.
func (b *Backend) Announce(a Announcement) error {
	checked, err := checkAnnouncement(a)
	if err != nil {
		b.log.Log(event.AnnounceRejected, zap.Error(err))
		return err
	}
	b.announce(checked)
	return nil
}

// Leave takes over that the backend server with the given ID stops. It gets no further request; those
// in flight finish. Announcements of the same lifetime that arrive later are ignored.
func (b *Backend) Leave(id string) {
	b.mu.Lock()
	if id == b.current.ID && b.current.state != 0 {
		b.left = lifetime{id, b.current.StartedMS}
		b.current.state = endpoint.Draining
		b.renewed = b.cfg.Now()
	}
	b.mu.Unlock()
	b.report()
}

// lifetime names one start of a backend server.
type lifetime struct {
	id        string
	startedMS int64
}

// outdated reports whether a was sent before what is known; the caller holds b.mu.
func (b *Backend) outdated(a *announced) bool {
	if a.ID != "" && b.left == (lifetime{a.ID, a.StartedMS}) {
		return true
	}
	last := &b.current
	if last.StartedMS == 0 || a.StartedMS == 0 {
		return false
	}
	if a.StartedMS != last.StartedMS {
		return a.StartedMS < last.StartedMS
	}
	return a.ID == last.ID && a.Sequence <= last.Sequence
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
