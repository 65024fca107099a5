// Package selection picks the backend server for a request. The request path loads one atomic
// pointer to an immutable table; the counters of each endpoint are atomics. The package starts no
// goroutines; time and randomness are injected.
package selection

import (
	"fmt"
	"time"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

const (
	// defaultSubset bounds the connections of a daemon in a deployment of 16,000 servers.
	defaultSubset = 20
	// defaultSpillLoad is the estimated load of the chosen local endpoint above which endpoints of
	// other failure domains are considered. Below it the local endpoint has a free slot and is nearer.
	defaultSpillLoad = 0.8
	// slowStart is the time over which the share of a newly ready server grows to its normal share.
	slowStart = 10 * time.Second
	// minShare is the initial share in slow start. Without requests, the server would not warm up.
	minShare = 0.1
	// ejectAfter is the number of consecutive failures that eject an endpoint.
	ejectAfter = 5
	// ejectBase is the duration of the first ejection; it doubles with each further one up to
	// ejectMax.
	ejectBase = time.Second
	ejectMax  = time.Minute
	// loadHalfLife is the half-life of the weight of a reported load.
	loadHalfLife = 500 * time.Millisecond
	// maxReportedLoad bounds the effect of a reported load, so that a wrong report cannot exclude an
	// endpoint.
	maxReportedLoad = 8.0
	// drainingFor is the time for which a draining flag on a response is honoured. The record that
	// confirms it arrives within a few seconds.
	drainingFor = 10 * time.Second
)

// Config is the configuration of a Selector.
type Config struct {
	// Instance is this daemon; subsets depend on it.
	Instance endpoint.InstanceID
	// Domain is the failure domain of this daemon.
	Domain string
	// Subset is the largest number of endpoints for each service and domain; zero means 20.
	Subset int
	// SpillLoad is the load above which other domains are considered; zero means 0.8.
	SpillLoad float64
}

func (c Config) withDefaults() Config {
	if c.Subset <= 0 {
		c.Subset = defaultSubset
	}
	if c.SpillLoad <= 0 {
		c.SpillLoad = defaultSpillLoad
	}
	return c
}

// NoEndpoint is the error of Pick. The request has not run; verdict.Of gives verdict.NotRun for it.
type NoEndpoint struct {
	Service string
	// Known is the number of ready endpoints of the service, Tried the number of endpoints to which
	// the request has already been sent.
	Known, Tried int
}

// Error implements error.
func (e *NoEndpoint) Error() string {
	return fmt.Sprintf("no endpoint for service %s: %d ready, %d already tried", e.Service, e.Known, e.Tried)
}

// As lets errors.As find the verdict of the error.
func (e *NoEndpoint) As(target any) bool {
	if v, ok := target.(**verdict.Error); ok {
		*v = &verdict.Error{Verdict: verdict.NotRun, Err: e}
		return true
	}
	return false
}

// Result is the outcome of an attempt.
type Result struct {
	Verdict verdict.Verdict
	// Failed means a refused or broken connection, a failed response or a timeout. A refusal by
	// admission control is not a failure.
	Failed bool
	// Draining is set on a refusal by an instance that accepts no new work.
	Draining bool
	// Load is the load reported with the response; negative means that none was reported.
	Load float64
	// Latency is the time of the attempt; zero means unknown.
	Latency time.Duration
	// Work is the time in a slot of the backend server; zero means unknown.
	Work time.Duration
	// Bytes is the size of the response body; it is used only if Work is known.
	Bytes int
	// Refused means that the request did not reach the backend server, so that the result does not
	// count towards its failure rate.
	Refused bool
}
