// Package backend is a stand-in for the backend servers that the users of kingcupwood run: a service
// with a fixed number of slots, a connection limit and a cost of new connections.
package backend

import (
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/lib/settings"
)

// Settings are the settings of the stand-in.
type Settings struct {
	Server   ServerSettings  `section:"backend"`
	Work     WorkSettings    `section:"work"`
	Failures FailureSettings `section:"failures"`
	Daemon   DaemonSettings  `section:"daemon"`
}

// ServerSettings describe the server as declared to its daemon.
type ServerSettings struct {
	Service     string         `key:"service"`
	Listen      netip.AddrPort `key:"listen"`
	Slots       int            `key:"slots" default:"12"`
	Connections int            `key:"connections" default:"100"`
	// ConnectCost delays the first request on a new connection.
	ConnectCost time.Duration `key:"connect-cost" default:"1ms"`
	// ColdStart is the time after the start during which requests are shed.
	ColdStart time.Duration `key:"cold-start" default:"0s"`
	// DrainTimeout bounds the wait for requests in flight after SIGTERM.
	DrainTimeout time.Duration `key:"drain-timeout" default:"30s"`
	// DrainNotice is the time for which the server still accepts requests after it has announced
	// draining; longer than an announcement and its dissemination take.
	DrainNotice time.Duration `key:"drain-notice" default:"3s"`
}

// WorkSettings describe the work of a request.
type WorkSettings struct {
	// ServiceTime applies to paths without an entry in ServiceTimes.
	ServiceTime time.Duration `key:"service-time" default:"2ms"`
	// ServiceTimes holds entries "prefix=duration"; the longest prefix wins.
	ServiceTimes []string `key:"service-times" optional:"true"`
	// Calls holds entries "prefix=service/path": requests below prefix call the path on another
	// service through the daemon.
	Calls         []string `key:"calls" optional:"true"`
	ResponseBytes int      `key:"response-bytes" default:"4096"`
	// Queue is the number of requests that wait for a slot; further ones are shed.
	Queue int `key:"queue" default:"24"`
}

// FailureSettings describe how the health and load endpoints deviate from the truth.
type FailureSettings struct {
	// ReportLag is the age of what the endpoints report.
	ReportLag time.Duration `key:"report-lag" default:"0s"`
	// Mislead makes the endpoints report a healthy and idle server at all times.
	Mislead bool `key:"mislead" default:"no"`
}

// DaemonSettings name the daemon of the instance.
type DaemonSettings struct {
	// Announce is the address of the daemon for announcements, Call that for calls to other services.
	Announce netip.AddrPort `key:"announce"`
	Call     netip.AddrPort `key:"call"`
}

// rule applies to the paths below a prefix.
type rule[T any] struct {
	prefix string
	value  T
}

// target is a request to another service.
type target struct{ service, path string }

// Load reads and checks the settings file at path. It returns settings.Errors or an error for the
// first list entry that cannot be parsed.
func Load(path string) (*Settings, error) {
	var s Settings
	if err := settings.Load(path, &s); err != nil {
		return nil, err
	}
	var faults settings.Errors
	fault := func(section, key, reason string) {
		faults = append(faults, &settings.Error{File: path, Section: section, Key: key, Reason: reason})
	}
	if s.Server.Slots < 1 {
		fault("backend", "slots", "must be at least 1")
	}
	if s.Server.Connections < 1 {
		fault("backend", "connections", "must be at least 1")
	}
	if s.Work.ResponseBytes < 0 {
		fault("work", "response-bytes", "must not be negative")
	}
	if s.Work.Queue < 0 {
		fault("work", "queue", "must not be negative")
	}
	if _, err := parseRules(s.Work.ServiceTimes, parseServiceTime); err != nil {
		fault("work", "service-times", err.Error())
	}
	if _, err := parseRules(s.Work.Calls, parseTarget); err != nil {
		fault("work", "calls", err.Error())
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return &s, nil
}

func parseRules[T any](list []string, parse func(string) (T, error)) ([]rule[T], error) {
	var rules []rule[T]
	for _, item := range list {
		prefix, raw, ok := strings.Cut(item, "=")
		if !ok || !strings.HasPrefix(prefix, "/") {
			return nil, errors.Errorf("%q is not /prefix=value", item)
		}
		value, err := parse(raw)
		if err != nil {
			return nil, err
		}
		rules = append(rules, rule[T]{prefix: prefix, value: value})
	}
	return rules, nil
}

func parseServiceTime(raw string) (time.Duration, error) {
	value, err := time.ParseDuration(raw)
	if err != nil || value < 0 {
		return 0, errors.Errorf("%q is not a duration with a unit, such as 5ms", raw)
	}
	return value, nil
}

func parseTarget(raw string) (target, error) {
	service, path, ok := strings.Cut(raw, "/")
	if !ok || service == "" {
		return target{}, errors.Errorf("%q is not service/path", raw)
	}
	if _, err := http.NewRequest(http.MethodGet, "http://daemon/"+path, nil); err != nil {
		return target{}, err
	}
	return target{service: service, path: "/" + path}, nil
}

// longest returns the rule with the longest prefix of path.
func longest[T any](rules []rule[T], path string) (T, bool) {
	var best rule[T]
	found := false
	for _, r := range rules {
		if strings.HasPrefix(path, r.prefix) && (!found || len(r.prefix) > len(best.prefix)) {
			best, found = r, true
		}
	}
	return best.value, found
}
