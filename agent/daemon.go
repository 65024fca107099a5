// Package agent assembles the components of a daemon. It connects them, starts them in the order of
// their dependencies, and stops them gracefully without interrupting requests.
package agent

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/rpc"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"kingcupwood.example/kingcupwood/agent/backend"
	"kingcupwood.example/kingcupwood/agent/caller"
	"kingcupwood.example/kingcupwood/agent/operator"
	"kingcupwood.example/kingcupwood/agent/peer/call"
	"kingcupwood.example/kingcupwood/agent/peer/keys"
	"kingcupwood.example/kingcupwood/agent/peer/probe"
	peersync "kingcupwood.example/kingcupwood/agent/peer/sync"
	"kingcupwood.example/kingcupwood/agent/peer/usage"
	"kingcupwood.example/kingcupwood/agent/rollouts"
	"kingcupwood.example/kingcupwood/agent/store"
	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/lib/socket"
	"kingcupwood.example/kingcupwood/lib/traffic"
	"kingcupwood.example/kingcupwood/pkg/admission"
	"kingcupwood.example/kingcupwood/pkg/bodymemory"
	"kingcupwood.example/kingcupwood/pkg/burn"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/retry"
	"kingcupwood.example/kingcupwood/pkg/selection"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// Retry budget of a daemon: the maximum share of retries among its requests, and the number of
// retries per second that is always allowed.
const (
	retryRatio        = 0.1
	retryMinPerSecond = 3
)

// maxBodyMemory limits the bytes of all bodies that a daemon holds beyond a free part of each: two bodies of
// the largest size, as a request and its response.
const maxBodyMemory = call.MaxRequestBodyBytes + call.MaxResponseBodyBytes

// Daemon is the process of the system on one instance.
type Daemon struct {
	settings *Settings
	network  Network
	log      *event.Logger
	started  time.Time

	listeners *listeners
	// security is nil if daemons are not authenticated to each other.
	security *security
	// Exactly one of platform and adapter is not nil.
	platform *store.Client
	adapter  Adapter
	store    *peersync.Store
	follower *peersync.Follower
	prober   *probe.Prober
	backend  *backend.Backend
	receiver *receiver
	selector *selection.Selector
	calls    *call.Server
	client   *call.Client
	callers  *caller.Handler
	askKey   caller.QueryKey
	retries  caller.Budgets
	caps     *usage.Caps
	rpc      *rpc.Server
	burn     *burn.Tracker
	gate     *gate
	unparsed unparsedRequests
	// endRequests cancels the requests of callers that are in progress.
	endRequests context.CancelFunc
	// versions and rollouts are nil unless roll-outs are switched on.
	versions *rollouts.Tracker
	rollouts *rollouts.Coordinator
	record   recordKeeper
	members  memberCount
	// peerTraffic counts the net/rpc connections between daemons, platformTraffic those to the
	// platform.
	peerTraffic, platformTraffic traffic.Counter
}

// New creates a daemon and opens its listeners. adapters holds the available adapters by the names
// used in the settings. It returns an error if a listener, the platform client or the adapter
// cannot be created from the settings.
func New(s *Settings, adapters map[string]NewAdapter, log *event.Logger) (*Daemon, error) {
	if name := s.Platform.Adapter; name != "" && adapters[name] == nil {
		return nil, errors.Errorf("section [platform]: key \"adapter\": there is no adapter %q", name)
	}
	return NewWithNetwork(s, &systemNetwork{}, adapters[s.Platform.Adapter], log)
}

// NewWithNetwork is like New but uses the given network for outgoing connections and probes, and
// the adapter created by newAdapter, or none if newAdapter is nil.
func NewWithNetwork(s *Settings, network Network, newAdapter NewAdapter, log *event.Logger) (*Daemon, error) {
	security, err := openSecurity(s, log)
	if err != nil {
		return nil, err
	}
	l, err := openListeners(s, network)
	if err != nil {
		return nil, err
	}
	d := &Daemon{settings: s, network: network, log: log, started: time.Now(), listeners: l, security: security}
	d.members.started = d.started
	d.unparsed.log = log
	if newAdapter != nil {
		d.adapter = newAdapter(s.Platform.Address.String(), d.platformTraffic.Dial(network.DialContext))
	}
	l.rpc = d.peerTraffic.Listener(l.rpc)
	if security != nil {
		l.calls, l.rpc = security.listen(l.calls), security.listen(l.rpc)
	}
	if err := d.build(); err != nil {
		l.close()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) build() error {
	d.store = peersync.NewStore(codec{})
	if err := d.buildPlatform(); err != nil {
		return err
	}
	local := d.localRecord()
	d.prober = d.newProber(local)
	d.buildDistribution(local)
	d.buildRequestPath(local)
	return d.buildRPC()
}

func (d *Daemon) buildPlatform() error {
	if d.adapter != nil {
		return nil
	}
	p := d.settings.Platform
	client, err := store.NewClient(store.Config{
		TableURL: p.TableURL, ObjectsURL: p.ObjectURL, Region: p.Region, Table: p.Table, Bucket: p.Bucket,
		AccessKey: p.AccessKey, SecretKey: p.SecretKey,
		Local: d.store.Load, Committed: d.committed,
		Dial: d.platformTraffic.Dial(d.network.DialContext),
	}, d.log)
	if err != nil {
		return errors.Wrap(err, "platform client")
	}
	d.platform = client
	return nil
}

// localRecord returns the record of this instance before its backend server has announced itself.
// It holds the advertised addresses, or else those of the listeners, which differ from the settings
// if the port is 0.
func (d *Daemon) localRecord() endpoint.Record {
	l, advertised := d.listeners, &d.settings.Advertise
	return endpoint.Record{
		Instance:    endpoint.InstanceID(d.settings.Daemon.Instance),
		Incarnation: uint64(d.started.UnixMilli()),
		Domain:      d.settings.Daemon.FailureDomain,
		CallAddr:    reachableAddr(advertised.Calls, l.calls.Addr()), RPCAddr: reachableAddr(advertised.RPC, l.rpc.Addr()),
		ProbeAddr: reachableAddr(advertised.Probes, l.probes.LocalAddr()), AdminAddr: l.admin.Addr().String(),
		State:              endpoint.Starting,
		LinkBytesPerSecond: int64(d.settings.Daemon.LinkRate * bytesPerMbit),
	}
}

// reachableAddr returns the address at which other daemons reach a listener.
func reachableAddr(advertised netip.AddrPort, listener net.Addr) string {
	if advertised.IsValid() {
		return advertised.String()
	}
	return listener.String()
}

func (d *Daemon) buildDistribution(local endpoint.Record) {
	var seeds []string
	for _, addr := range d.settings.Peers.Seeds {
		seeds = append(seeds, addr.String())
	}
	config := peersync.Config{
		Self: local, Seeds: seeds, Members: d.prober, Store: d.store,
		Dial: d.dialPeer, Log: d.log, Seed: rand.Uint64(),
	}
	if d.adapter != nil {
		config.Source, config.Directory = d.adapter.Source(), d.adapter.Directory()
		config.Restores = d.adapter.Restores()
		config.OnRestore = func(ctx context.Context, delay time.Duration) int { return d.backend.RecordAgain(ctx, delay) }
		config.ApplyTime = d.settings.Distribution.ApplyTime
	} else {
		config.Platform = &headSource{Client: d.platform, current: d.store.Load}
	}
	d.follower = peersync.NewFollower(config)
}

func (d *Daemon) buildRequestPath(local endpoint.Record) {
	incarnation := rand.Uint64()
	d.record = recordKeeper{prober: d.prober, versioned: d.settings.Rollouts.ExposureShare > 0}
	d.receiver = &receiver{
		log: d.log, requestID: d.dialect().RequestID,
		admission: admission.New(admission.Config{Slots: 1}, time.Now),
		bodies:    newBodySchedule(local.LinkBytesPerSecond),
		owned:     func(ctx context.Context, r *call.Request) *call.Response { return d.callers.ServeOwned(ctx, r) },
	}
	d.backend = backend.New(backend.Config{
		Changed: d.backendChanged, Dialect: d.dialect(), Lifetime: d.settings.Backend.AnnouncementLifetime,
		Service: d.settings.Backend.Service, HostIP: d.hostIP(), Departures: d.departures(), Departed: d.record.serverDeparted,
		Remembered: d.follower.RememberedDepartures, LogIncomplete: d.follower.StoreRestored,
	}, d.log)
	d.receiver.backend = d.backend
	d.buildRollouts(local.Instance)
	d.selector = selection.New(selection.Config{Instance: local.Instance, Domain: local.Domain}, time.Now, rand.Uint64)
	d.client = call.NewClientWithDialer(d.dialDaemon, d.log)
	memory := bodymemory.NewBudget(maxBodyMemory)
	d.calls = call.NewServer(d.receiver, incarnation, d.log)
	d.calls.Memory = memory
	d.burn = burn.New(burn.Config{}, time.Now)
	d.askKey = keys.QueryFunc(d.dialDaemon)
	d.retries = d.budgets()
	d.caps = d.usageCaps()
	d.callers = caller.NewHandler(caller.Config{
		Instance: local.Instance, Domain: local.Domain, Incarnation: incarnation, StartedMS: local.Incarnation,
		QueryKey: d.askKey, Running: d.receiver.running.contains, RepeatShare: d.receiver.running.repeatShare, Snapshot: d.snapshot, View: d.prober.View,
		Selector: d.selector, Local: d.receiver, Remote: d.client,
		Budgets: d.retries, Caps: d.caps, Recorder: d.burn, Log: d.log, Now: time.Now,
		Stopping: func() bool { return d.gate.draining.Load() }, StopBy: d.callerStopBy, Memory: memory,
		Dialect: d.dialect(), Origin: d.settings.Backend.Service, Random: rand.Uint64,
	})
	d.gate = &gate{next: d.callers, refuse: http.HandlerFunc(d.callers.RefuseStopping), log: d.log}
}

func (d *Daemon) buildRPC() error {
	d.rpc = rpc.NewServer()
	if err := d.calls.RegisterRPC(d.rpc); err != nil {
		return err
	}
	if d.versions != nil {
		if err := rollouts.Register(d.rpc, d.versions, d.log); err != nil {
			return err
		}
	}
	return keys.Register(d.rpc, d.callers, d.log)
}

// backendChanged applies a change of the backend server, before it is confirmed to the server.
func (d *Daemon) backendChanged(status backend.Status) {
	if d.versions != nil { // before a request can reach a server of another version
		d.versions.Update(d.prober.View(), status.Service, status.Version)
	}
	d.receiver.backendChanged(status)
	d.record.backendChanged(status)
}

// snapshot returns the snapshot in force, or nil while this daemon is not ready to serve.
func (d *Daemon) snapshot() *snapshot.Snapshot {
	if !d.follower.Ready() {
		return nil
	}
	return d.store.Load()
}

// Run serves until ctx ends, then stops gracefully. It returns the first error of a component.
func (d *Daemon) Run(ctx context.Context) error {
	d.log.Log(event.DaemonStarted, zap.String("instance", d.settings.Daemon.Instance),
		zap.String("failure_domain", d.settings.Daemon.FailureDomain))
	// The components keep running while requests are drained, so they must not end with ctx.
	parts, endParts := context.WithCancel(context.WithoutCancel(ctx))
	defer endParts()
	group, parts := errgroup.WithContext(parts)
	admin := operator.NewHTTPServer(d.administration())
	callers := d.callerServer()
	announcements := &http.Server{Handler: d.announcements(), ReadHeaderTimeout: headerTimeout}
	readiness := d.readinessServer()
	metrics := &http.Server{Handler: d.metricsHandler(), ReadHeaderTimeout: headerTimeout}
	d.serve(parts, group, map[*http.Server]net.Listener{
		admin: d.listeners.admin, announcements: d.listeners.announcements, readiness: d.listeners.readiness, metrics: d.listeners.metrics,
		callers: observedListener{limitedListener{socket.Listener{Listener: d.listeners.callers}, d.store.Load}, &d.unparsed},
	})
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-parts.Done():
		}
		d.drain(parts, callers)
		endParts()
		_ = admin.Close()
		_ = announcements.Close()
		_ = readiness.Close()
		_ = metrics.Close()
		d.backend.Close()
		d.client.Close()
		return nil
	})
	err := group.Wait()
	d.closePlatform()
	d.log.Log(event.DaemonStopped)
	return err
}

func (d *Daemon) closePlatform() {
	if d.adapter != nil {
		d.adapter.Close()
		return
	}
	d.platform.Close()
}

// budgets returns the retry budgets: one for each kind of request, or, with an adapter, the share
// of this daemon in the budgets of all daemons.
func (d *Daemon) budgets() caller.Budgets {
	if d.adapter == nil {
		return retry.NewBudgets(retryRatio, retryMinPerSecond, time.Now)
	}
	r := d.settings.Retries
	return retry.NewShared(retry.SharedLimit{
		Ratio: r.Ratio, Slack: float64(r.Slack), Window: r.Window, Now: time.Now,
		Members: func() int {
			return d.members.estimate(time.Now(), len(d.prober.View().Records), d.follower.ListedDaemons(), d.settings.Retries.Window)
		},
	})
}

// serve starts all components in group, and each of servers that has a listener.
func (d *Daemon) serve(ctx context.Context, group *errgroup.Group, servers map[*http.Server]net.Listener) {
	group.Go(func() error { return d.prober.Run(ctx) })
	group.Go(func() error {
		return peersync.Serve(ctx, d.listeners.rpc, d.rpcWithSync(ctx))
	})
	group.Go(func() error { return d.follower.Run(ctx) })
	group.Go(func() error { return ignoreClosed(d.calls.Serve(d.listeners.calls)) })
	group.Go(func() error { d.reconfigure(ctx); return nil })
	group.Go(func() error { d.watchSecurity(ctx); return nil })
	if d.rollouts != nil {
		group.Go(func() error { d.rollouts.Run(ctx); return nil })
	}
	group.Go(func() error { d.caps.Run(ctx); return nil })
	group.Go(func() error {
		keys.NewMover(d.callers, d.prober.View, d.dialDaemon, d.log).Run(ctx)
		return nil
	})
	for server, listener := range servers {
		if listener == nil {
			continue
		}
		group.Go(func() error { return ignoreClosed(server.Serve(listener)) })
	}
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, call.ErrClosed) {
		return nil
	}
	return err
}
