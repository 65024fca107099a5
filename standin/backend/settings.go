// Package backend implements a stand-in for the backend servers that the users of kingcupwood run.
// It simulates a service with a fixed number of slots, a connection limit and a delay on new
// connections.
package backend

import (
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/lib/settings"
)

// Settings are the settings of the stand-in backend server.
type Settings struct {
	Server   ServerSettings  `section:"backend"`
	Work     WorkSettings    `section:"work"`
	Failures FailureSettings `section:"failures"`
	Daemon   DaemonSettings  `section:"daemon"`
}

// ServerSettings describe the server: the service and capacity that it announces to its daemon, and
// the delays of its start, connections and stop.
type ServerSettings struct {
	Service     string         `key:"service"`
	Listen      netip.AddrPort `key:"listen"`
	Slots       int            `key:"slots" default:"12"`
	Connections int            `key:"connections" default:"100"`
	// ConnectCost is the delay before the first request on a new connection is read.
	ConnectCost time.Duration `key:"connect-cost" default:"1ms"`
	// ColdStart is the time after the start during which requests are shed.
	ColdStart time.Duration `key:"cold-start" default:"0s"`
	// DrainTimeout limits the wait for requests in flight after the drain notice.
	DrainTimeout time.Duration `key:"drain-timeout" default:"30s"`
	// DrainNotice is the time for which the server still accepts requests after it has announced
	// draining. It must be longer than an announcement and its dissemination take.
	DrainNotice time.Duration `key:"drain-notice" default:"3s"`
}

// WorkSettings describe how requests are processed.
type WorkSettings struct {
	// ServiceTime applies to paths without an entry in ServiceTimes.
	ServiceTime time.Duration `key:"service-time" default:"2ms"`
	// ServiceTimes holds entries "prefix=duration"; the longest matching prefix applies.
	ServiceTimes []string `key:"service-times" optional:"true"`
	// Calls holds entries "prefix=service/path": requests below prefix call the path on another
	// service through the daemon.
	Calls         []string `key:"calls" optional:"true"`
	ResponseBytes int      `key:"response-bytes" default:"4096"`
	// Queue is the maximum number of requests that wait for a slot; further ones are shed.
	Queue int `key:"queue" default:"24"`
}

// FailureSettings describe how the health and load endpoints deviate from the actual state.
type FailureSettings struct {
	// ReportLag is the age of the state and load that the endpoints report.
	ReportLag time.Duration `key:"report-lag" default:"0s"`
	// Mislead makes the endpoints always report a healthy, idle server.
	Mislead bool `key:"mislead" default:"no"`
}

// DaemonSettings hold the addresses of the daemon on the same instance.
type DaemonSettings struct {
	// Announce is the address for announcements, Call the address for calls to other services.
	Announce netip.AddrPort `key:"announce"`
	Call     netip.AddrPort `key:"call"`
}

// prefixRule applies to the paths below a prefix.
type prefixRule[T any] struct {
	prefix string
	value  T
}

// callTarget is a request to another service.
type callTarget struct{ service, path string }

// Load reads and checks the settings file at path. The settings.Errors of the checks name all
// values out of range and the first list entry of each key that cannot be parsed.
func Load(path string) (*Settings, error) {
	var s Settings
	if err := settings.Load(path, &s); err != nil {
		return nil, err
	}
	var errs settings.Errors
	addError := func(section, key, reason string) {
		errs = append(errs, &settings.Error{File: path, Section: section, Key: key, Reason: reason})
	}
	if s.Server.Slots < 1 {
		addError("backend", "slots", "must be at least 1")
	}
	if s.Server.Connections < 1 {
		addError("backend", "connections", "must be at least 1")
	}
	if s.Work.ResponseBytes < 0 {
		addError("work", "response-bytes", "must not be negative")
	}
	if s.Work.Queue < 0 {
		addError("work", "queue", "must not be negative")
	}
	if _, err := parseRules(s.Work.ServiceTimes, parseServiceTime); err != nil {
		addError("work", "service-times", err.Error())
	}
	if _, err := parseRules(s.Work.Calls, parseCallTarget); err != nil {
		addError("work", "calls", err.Error())
	}
	if len(errs) > 0 {
		return nil, errs
	}
	return &s, nil
}

func parseRules[T any](list []string, parse func(string) (T, error)) ([]prefixRule[T], error) {
	var rules []prefixRule[T]
	for _, item := range list {
		prefix, raw, ok := strings.Cut(item, "=")
		if !ok || !strings.HasPrefix(prefix, "/") {
			return nil, errors.Errorf("%q is not /prefix=value", item)
		}
		value, err := parse(raw)
		if err != nil {
			return nil, err
		}
		rules = append(rules, prefixRule[T]{prefix: prefix, value: value})
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

func parseCallTarget(raw string) (callTarget, error) {
	service, path, ok := strings.Cut(raw, "/")
	if !ok || service == "" {
		return callTarget{}, errors.Errorf("%q is not service/path", raw)
	}
	if _, err := http.NewRequest(http.MethodGet, "http://daemon/"+path, nil); err != nil {
		return callTarget{}, err
	}
	return callTarget{service: service, path: "/" + path}, nil
}

// matchLongestPrefix returns the value of the rule with the longest prefix that path starts with,
// and whether there is such a rule.
func matchLongestPrefix[T any](rules []prefixRule[T], path string) (T, bool) {
	var best prefixRule[T]
	found := false
	for _, r := range rules {
		if strings.HasPrefix(path, r.prefix) && (!found || len(r.prefix) > len(best.prefix)) {
			best, found = r, true
		}
	}
	return best.value, found
}
