package agent

import (
	"expvar"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

// Paths of a daemon with an adapter, which has no administration API.
const (
	metricsPath = "/metrics"
	reportPath  = "/report"
)

// Metrics returns the metrics of the daemon for publication with expvar.
func (d *Daemon) Metrics() expvar.Var {
	m := new(expvar.Map).Init()
	m.Set("callers", d.callers.Metrics())
	m.Set("unparsed_by_status", &d.unparsed.statuses)
	m.Set("uptime_seconds", expvar.Func(func() any { return int64(time.Since(d.started).Seconds()) }))
	m.Set("log_lines", expvar.Func(func() any {
		limited, blocked := d.log.Dropped()
		return map[string]uint64{"left_out_by_limit": limited, "dropped_by_output": blocked}
	}))
	m.Set("backend", expvar.Func(d.backendMetrics))
	m.Set("admission", expvar.Func(func() any { return d.receiver.admission.Stats() }))
	m.Set("accounts", expvar.Func(d.accountMetrics))
	m.Set("configuration", expvar.Func(d.configurationMetrics))
	m.Set("usage_caps", d.caps.Metrics())
	m.Set("membership", expvar.Func(d.membershipMetrics))
	m.Set("peer_traffic", expvar.Func(func() any { return d.peerTraffic.Stats() }))
	m.Set("security", expvar.Func(d.securityMetrics))
	if d.rollouts != nil {
		m.Set("rollouts", d.rollouts.Metrics())
	}
	m.Set("platform_traffic", expvar.Func(func() any { return d.platformTraffic.Stats() }))
	return m
}

// metricsHandler returns the read-only handler of the metrics and the service-level report.
func (d *Daemon) metricsHandler() http.Handler {
	router := chi.NewRouter()
	router.Get(metricsPath, expvar.Handler().ServeHTTP)
	router.Get(reportPath, burnReport{d.burn}.ServeHTTP)
	return router
}

type accountMetrics struct {
	Accounts int `json:"accounts"`
	Keys     int `json:"keys"`
}

// accountMetrics returns the numbers of client accounts and keys of the configuration in force.
func (d *Daemon) accountMetrics() any {
	accounts, keys := d.store.Load().AccountCounts()
	return accountMetrics{Accounts: accounts, Keys: keys}
}

type backendMetrics struct {
	Service string  `json:"service"`
	State   string  `json:"state"`
	Slots   int     `json:"slots_in_use_limit"`
	Load    float64 `json:"load"`
}

func (d *Daemon) backendMetrics() any {
	status := d.backend.Status()
	return backendMetrics{
		Service: status.Service, State: status.State.String(),
		Slots: d.receiver.admission.Slots(), Load: d.receiver.admission.Load(),
	}
}

type configurationMetrics struct {
	Version uint64 `json:"version"`
	Floor   uint64 `json:"version_floor"`
	Ready   bool   `json:"ready"`
	Leading bool   `json:"holds_lease"`
	Refused int    `json:"refused_versions"`
	// Reader and SourceAway are always false without an adapter.
	Reader     bool `json:"reads_source"`
	SourceAway bool `json:"source_away"`
	// The ages are in seconds, -1 without an answer.
	SourceAnswer float64 `json:"source_answer_age_seconds"`
	ParentAnswer float64 `json:"parent_answer_age_seconds"`
	KnowledgeAge float64 `json:"knowledge_age_seconds"`
	// StoreEra and RowsRewritten are always 0 without an adapter.
	StoreEra      uint64 `json:"store_era"`
	RowsRewritten uint64 `json:"rows_rewritten"`
}

func (d *Daemon) configurationMetrics() any {
	floor, _ := d.follower.Floor() // 0 if unknown
	source, restores := d.follower.SourceStatus(), d.follower.RestoreStatus()
	return configurationMetrics{
		Version: uint64(d.store.Version()), Floor: uint64(floor), Ready: d.follower.Ready(),
		Leading: d.follower.Leading(), Refused: len(d.follower.Refusals()),
		Reader: source.Reader, SourceAway: source.Away,
		SourceAnswer: source.SourceAnswer.Seconds(), ParentAnswer: source.ParentAnswer.Seconds(),
		KnowledgeAge: source.Age.Seconds(),
		StoreEra:     restores.Era, RowsRewritten: restores.Rewritten,
	}
}

type membershipMetrics struct {
	Records     int `json:"records"`
	Ready       int `json:"ready"`
	Unreachable int `json:"unreachable_domains"`
	// Bytes and packets are those of the UDP probes, without IP and UDP headers.
	SentBytes       uint64 `json:"probe_sent_bytes"`
	ReceivedBytes   uint64 `json:"probe_received_bytes"`
	SentPackets     uint64 `json:"probe_sent_packets"`
	ReceivedPackets uint64 `json:"probe_received_packets"`
}

func (d *Daemon) membershipMetrics() any {
	view, stats := d.prober.View(), d.prober.Stats()
	m := membershipMetrics{
		Records: len(view.Records), Unreachable: len(view.Unreachable),
		SentBytes: stats.SentBytes, ReceivedBytes: stats.ReceivedBytes,
		SentPackets: stats.SentPackets, ReceivedPackets: stats.ReceivedPackets,
	}
	for _, r := range view.Records {
		if r.State == endpoint.Ready {
			m.Ready++
		}
	}
	return m
}
