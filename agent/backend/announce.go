package backend

import (
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// AnnouncePath is the path at which backend servers announce themselves with PUT.
const AnnouncePath = "/v1/announce"

// maxAnnouncementBytes limits the body of an announcement.
const maxAnnouncementBytes = 4 << 10

const (
	// maxSequence is the largest integer that every JSON implementation represents exactly. A larger
	// sequence comes from another writer, and would hide all later announcements.
	maxSequence = 1 << 53
	// maxStartAhead is how far the start time of a server may lie ahead of the clock of the daemon,
	// which may have been stepped back since. An announcement with a later start time would hide those
	// of the real server.
	maxStartAhead = time.Hour
	// maxIDBytes limits the ID of a server, so that the departures of an instance fit into a row of the platform.
	maxIDBytes = 200
	// maxRejectionText limits the logged text of an error, which may quote the announcement.
	maxRejectionText = 200
)

// Announcement is the JSON message in which a backend server reports its address, capacity and
// state once a second.
type Announcement struct {
	Service string `json:"service"`
	// Address is the "ip:port" at which the backend server accepts HTTP/1.1.
	Address string `json:"address"`
	// State is "starting", "ready" or "draining".
	State string `json:"state"`
	// Slots is the number of requests that it processes concurrently, Connections the number of
	// connections that it accepts.
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
	// ID identifies the process of the backend server and may be empty. StartedMS is its start time
	// as Unix time in milliseconds, and Sequence increases with each announcement of the process.
	// Both serve to detect announcements that arrive out of order; zero means not set.
	ID        string `json:"id,omitempty"`
	StartedMS int64  `json:"started_ms,omitempty"`
	Sequence  uint64 `json:"-"`
	// Version names the version of the server program and may be empty.
	Version string `json:"version,omitempty"`
	// ColdLeft is the time for which the server expects to stay slow after its start.
	ColdLeft time.Duration `json:"-"`
}

// checkedAnnouncement is a checked announcement.
type checkedAnnouncement struct {
	Announcement
	state endpoint.State
}

func parseAnnouncement(body io.Reader) (checkedAnnouncement, error) {
	var a Announcement
	decoder := json.NewDecoder(io.LimitReader(body, maxAnnouncementBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&a); err != nil {
		return checkedAnnouncement{}, errors.Wrap(err, "body is not an announcement")
	}
	return checkAnnouncement(a)
}

// checkAnnouncement checks the values that do not depend on the daemon.
func checkAnnouncement(a Announcement) (checkedAnnouncement, error) {
	checked := checkedAnnouncement{Announcement: a}
	if a.Service == "" {
		return checked, errors.New("service is missing")
	}
	if err := endpoint.CheckAddr(a.Address); err != nil {
		return checked, err
	}
	state, ok := endpoint.ParseState(a.State)
	if !ok || state == endpoint.Gone {
		return checked, errors.Errorf("state %q is not starting, ready or draining", a.State)
	}
	if a.Slots < 1 || a.Slots > snapshot.MaxSlots || a.Connections < 1 || a.Connections > snapshot.MaxConnections {
		return checked, errors.Errorf("slots %d must be 1 to %d and connections %d 1 to %d",
			a.Slots, snapshot.MaxSlots, a.Connections, snapshot.MaxConnections)
	}
	if err := checkID(a.ID); err != nil {
		return checked, err
	}
	if a.Sequence > maxSequence {
		return checked, errors.Errorf("sequence %d is over %d", a.Sequence, maxSequence)
	}
	checked.state = state
	return checked, nil
}

func checkID(id string) error {
	if len(id) > maxIDBytes {
		return errors.Errorf("id of %d bytes is longer than %d", len(id), maxIDBytes)
	}
	return nil
}

// checkForHost checks the values that depend on this daemon: its service, its clock and its host.
func (b *Backend) checkForHost(a *checkedAnnouncement) error {
	if b.cfg.Service != "" && a.Service != b.cfg.Service {
		return errors.Errorf("service %q is not that of this instance, %q", truncate(a.Service), b.cfg.Service)
	}
	if latest := b.cfg.Now().Add(maxStartAhead).UnixMilli(); a.StartedMS < 0 || a.StartedMS > latest {
		return errors.Errorf("start time %d is not a time up to %d in milliseconds", a.StartedMS, latest)
	}
	ip := netip.MustParseAddrPort(a.Address).Addr().Unmap()
	if b.cfg.HostIP.IsValid() && ip != b.cfg.HostIP && !ip.IsLoopback() {
		return errors.Errorf("address %q is not on this host, %s", a.Address, b.cfg.HostIP)
	}
	return nil
}

// Announce applies an announcement. It ignores one that is older than the current announcement or that
// arrives after the departure of its server, see Leave. It returns an error, and changes nothing, if the
// announcement is invalid. ErrUnconfirmed means that the server should send it again.
func (b *Backend) Announce(a Announcement) error {
	checked, err := checkAnnouncement(a)
	return b.applyChecked(checked, err)
}

// applyChecked applies an announcement unless err or a check of its values rejects it.
func (b *Backend) applyChecked(a checkedAnnouncement, err error) error {
	if err == nil {
		err = b.checkForHost(&a)
	}
	if err != nil {
		b.Reject(a.ID, err)
		return err
	}
	if a.ID != "" {
		if err := b.awaitDepartures(&a); err != nil {
			return err
		}
	}
	changed := b.apply(a)
	if a.state == endpoint.Draining {
		return b.recordDepartures()
	}
	if changed {
		_ = b.recordDepartures() // logged; the next process would need as long as this one to see that the server lives
	}
	return nil
}

// Reject records that an announcement of the server with the given ID was invalid. Such
// announcements may come from any process that reaches the listener, so the log lines are limited.
func (b *Backend) Reject(id string, err error) {
	rejected := b.rejected.Add(1)
	b.rejectLog.Do(func() {
		b.log.Log(event.AnnounceRejected, zap.String("id", truncate(id)), zap.String("error", truncate(err.Error())),
			zap.Uint64("rejected", rejected))
	})
}

func truncate(text string) string { return text[:min(len(text), maxRejectionText)] }

// Leave records that the backend server with the given ID is stopping. No further requests are sent
// to it; requests in flight finish. Announcements of processes that started under this ID before are ignored,
// unless they go on for longer than late ones may arrive. The error is
// ErrUnconfirmed if the departure could not be recorded; the server should then send it again.
func (b *Backend) Leave(id string) error {
	if err := checkID(id); err != nil {
		b.Reject(id, err)
		return err
	}
	b.mu.Lock()
	b.departByID(id)
	if b.current.state != 0 && id == b.current.ID {
		b.current.state = endpoint.Draining
		b.renewedAt = b.cfg.Now()
		b.pool.wakeWaiters()
	}
	b.mu.Unlock()
	b.report()
	return b.recordDepartures()
}

// outdated reports whether a is older than the current announcement or comes from a process that has
// departed; the caller holds b.mu. An announcement that has expired hides none that go on.
func (b *Backend) outdated(a *checkedAnnouncement) bool {
	if a.state != endpoint.Draining && b.hasDeparted(a) && !b.refuted(a) {
		b.ignoredLog.Do(func() {
			b.log.Log(event.DepartedIgnored, zap.String("id", truncate(a.ID)), zap.Int64("started_ms", a.StartedMS), zap.Uint64("sequence", a.Sequence))
		})
		return true
	}
	if !b.isOlder(a) {
		return false
	}
	// An announcement of another writer may seem to be newer than those of the server. It is not renewed, and
	// those of the server go on.
	now := b.cfg.Now()
	b.hidden.note(a, now)
	if b.state() != endpoint.Gone || !b.hidden.proven(now, startSpan) {
		return true
	}
	b.log.Log(event.AnnounceUncovered, zap.String("id", a.ID), zap.Uint64("sequence", a.Sequence),
		zap.String("current_id", b.current.ID), zap.Uint64("current_sequence", b.current.Sequence))
	return false
}

// isOlder reports whether a seems to be older than the current announcement; the caller holds b.mu.
func (b *Backend) isOlder(a *checkedAnnouncement) bool {
	last := &b.current
	if last.StartedMS == 0 || a.StartedMS == 0 {
		return false
	}
	if a.StartedMS != last.StartedMS {
		return a.StartedMS < last.StartedMS
	}
	return a.ID == last.ID && a.Sequence <= last.Sequence
}

// RejectionStatus returns the HTTP status for an error of Announce or Leave.
func RejectionStatus(err error) int {
	if errors.Is(err, ErrUnconfirmed) {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}

// Announcements returns the handler of PUT /v1/announce. It responds with 204, with 400 and the reason
// if the announcement is invalid, or with 503 if it should be sent again. An invalid announcement
// changes nothing.
func (b *Backend) Announcements() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+AnnouncePath, func(w http.ResponseWriter, r *http.Request) {
		a, err := parseAnnouncement(r.Body)
		if err = b.applyChecked(a, err); err != nil {
			http.Error(w, err.Error(), RejectionStatus(err))
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}
