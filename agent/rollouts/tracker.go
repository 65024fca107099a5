package rollouts

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/rollout"
)

const (
	// settleTime is the time after the join for which the version of a service follows the majority of
	// its servers, since their records may still be arriving.
	settleTime = 5 * time.Second
	// joinWait is how long a starting daemon that knows only itself does not use its own server, whose
	// version may not be that of the service.
	joinWait = 1500 * time.Millisecond
	// refreshInterval is the time between two updates without a change of the view.
	refreshInterval = time.Second
)

// undecided is the version of a service while a starting daemon does not know the other servers. No
// server has it, as it is longer than a version key.
const undecided = "the versions of the servers are not known yet"

// TrackerConfig configures a Tracker.
type TrackerConfig struct {
	Instance endpoint.InstanceID
	Log      *event.Logger
	Now      func() time.Time
	// Joined reports whether this daemon has joined the membership.
	Joined func() bool
	// RefuseWaiting refuses the requests that wait for a slot and returns their number. It is called when
	// this daemon begins to refuse requests because of the version of its server.
	RefuseWaiting func() int
}

// Tracker holds the versions that get requests, as this daemon knows them.
type Tracker struct {
	cfg     TrackerConfig
	started time.Time
	// own is the part that concerns the server of this instance.
	own      atomic.Pointer[ownServer]
	inFlight atomic.Int64
	refused  atomic.Uint64

	mu       sync.Mutex
	versions rollout.Versions
	view     *endpoint.View
	updated  time.Time
	joinedAt time.Time
	service  string
	version  string
	traffic  map[string]rollout.Traffic
	// changes counts the changes of traffic.
	changes uint64

	counter counter
}

// ownServer is the state of the server of this instance. It is immutable.
type ownServer struct {
	service, version string
	refuses          bool
	// order is the order of a roll-out in progress for which responses are counted, 0 if there is none.
	order    uint64
	isTarget bool
}

// NewTracker returns a Tracker without any servers.
func NewTracker(cfg TrackerConfig) *Tracker {
	t := &Tracker{cfg: cfg, started: cfg.Now()}
	t.own.Store(&ownServer{})
	return t
}

// Update takes over the records of view and the version of the server of this instance.
func (t *Tracker) Update(view *endpoint.View, service, version string) {
	t.mu.Lock()
	now := t.cfg.Now()
	changed := view != t.view || service != t.service || endpoint.VersionKey(version) != t.version ||
		now.Sub(t.updated) >= refreshInterval || t.joinedAt.IsZero() && t.cfg.Joined()
	if !changed {
		t.mu.Unlock()
		return
	}
	if view != t.view {
		for _, r := range view.Records {
			for _, e := range rollout.Decode(r.Rollouts) {
				t.versions.Learn(e)
			}
		}
	}
	t.view, t.service, t.version, t.updated = view, service, endpoint.VersionKey(version), now
	t.refresh(now)
}

// Learn takes over entries that a coordinator has sent.
func (t *Tracker) Learn(entries []rollout.Entry) {
	t.mu.Lock()
	news := false
	for _, e := range entries {
		news = t.versions.Learn(e) || news
	}
	if !news {
		t.mu.Unlock()
		return
	}
	t.refresh(t.cfg.Now())
}

// LearnSettled takes over the end of an earlier order, unless the service has no ready server that would
// then get requests: its servers may have been replaced since.
func (t *Tracker) LearnSettled(e rollout.Entry) {
	t.mu.Lock()
	useful := false
	if t.view != nil {
		for _, r := range t.view.ByService[e.Service] {
			inForce := (r.Version == e.Target) == (e.Phase == rollout.Completed)
			useful = useful || inForce && r.State == endpoint.Ready && r.Version != ""
		}
	}
	t.mu.Unlock()
	if useful {
		t.Learn([]rollout.Entry{e})
	}
}

// refresh computes traffic and own. The caller holds t.mu, which refresh releases.
func (t *Tracker) refresh(now time.Time) {
	if t.view != nil {
		t.versions.Update(now, t.view.ByService, t.settled(now))
	}
	traffic := t.versions.Traffic()
	if t.awaitsOthers(now) {
		for service, flow := range traffic {
			if flow.Order == 0 {
				traffic[service] = rollout.Traffic{Base: undecided}
			}
		}
	}
	if !maps.Equal(traffic, t.traffic) {
		t.traffic = traffic
		t.changes++
	}
	next := t.ownServer()
	before := t.own.Swap(next)
	if next.order != before.order || next.service != before.service || next.version != before.version {
		t.counter.reset(next.order)
	}
	t.mu.Unlock()
	if next.refuses != before.refuses && next.version != "" {
		waiting := 0
		if next.refuses {
			waiting = t.cfg.RefuseWaiting()
		}
		t.cfg.Log.Log(event.RolloutRefusing, zap.String("service", next.service), zap.String("version", next.version),
			zap.Bool("refuses", next.refuses), zap.Int("requests", waiting))
	}
}

// settled reports whether the records of all servers have arrived.
func (t *Tracker) settled(now time.Time) bool {
	if t.joinedAt.IsZero() && t.cfg.Joined() {
		t.joinedAt = now
	}
	return !t.joinedAt.IsZero() && now.Sub(t.joinedAt) >= settleTime
}

// awaitsOthers reports whether this daemon has just started and knows only itself.
func (t *Tracker) awaitsOthers(now time.Time) bool {
	return t.joinedAt.IsZero() && now.Sub(t.started) < joinWait && (t.view == nil || len(t.view.Records) <= 1)
}

func (t *Tracker) ownServer() *ownServer {
	own := &ownServer{service: t.service, version: t.version}
	flow, ok := t.traffic[t.service]
	if !ok || t.service == "" {
		return own
	}
	own.refuses = !flow.Permits(t.version)
	own.order, own.isTarget = flow.Order, flow.IsTarget(t.version)
	return own
}

// Traffic returns the services whose servers are distinguished by version, and a number that grows with
// each change. The map must not be changed.
func (t *Tracker) Traffic() (traffic map[string]rollout.Traffic, changes uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.traffic, t.changes
}

// Entry returns the last known entry of a service and the version of the service.
func (t *Tracker) Entry(service string) (e rollout.Entry, base string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.versions.Entry(service), t.versions.Base(service)
}

// Refuses reports whether the server of this instance must get no requests because of its version. A nil
// Tracker never refuses.
func (t *Tracker) Refuses() bool {
	return t != nil && t.own.Load().refuses
}

// Enter counts a request for the server of this instance as in flight until Leave. The caller calls Refuses
// after it, so that a request that Report does not count is refused.
func (t *Tracker) Enter() {
	if t != nil {
		t.inFlight.Add(1)
	}
}

// Leave ends what Enter began.
func (t *Tracker) Leave() {
	if t != nil {
		t.inFlight.Add(-1)
	}
}

// Refused counts a request refused because of the version.
func (t *Tracker) Refused() { t.refused.Add(1) }

// Count records a response of the server of this instance: its kind, whether it failed, and its time in a
// slot, zero if unknown. The work times of a server that is still slow after its start do not count.
func (t *Tracker) Count(kind string, failed bool, work time.Duration, cold bool) {
	if t == nil {
		return
	}
	own := t.own.Load()
	if own.order == 0 || cold && !failed {
		return
	}
	t.counter.add(own.order, kind, failed, work)
}

// BadOrder returns the order whose target version has responded badly too often at this instance, zero if
// there is none.
func (t *Tracker) BadOrder() uint64 {
	own := t.own.Load()
	if own.isTarget && t.counter.failures(own.order) >= notifyAfter {
		return own.order
	}
	return 0
}

// Report is what a coordinator asks the daemons of a service for.
type Report struct {
	Service, Version string
	// Order is the roll-out to which the other fields belong.
	Order uint64
	// Refuses means that the daemon refuses new requests for its server; InFlight is the number of
	// requests that have not ended.
	Refuses  bool
	InFlight int
	Kinds    map[string]rollout.Sample
	// Entries holds the last entry of the service that this instance knows. A coordinator learns with it of
	// a roll-back by its predecessor whose record it has not seen.
	Entries string
}

// Report returns the report of this instance.
func (t *Tracker) Report() Report {
	own := t.own.Load()
	entries := ""
	if e, _ := t.Entry(own.service); e.Order > 0 {
		entries, _ = rollout.Encode([]rollout.Entry{e})
	}
	return Report{
		Entries: entries, Service: own.service, Version: own.version, Order: own.order, Refuses: own.refuses,
		InFlight: int(t.inFlight.Load()), Kinds: t.counter.snapshot(own.order),
	}
}
