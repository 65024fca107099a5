package agent

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap/zapcore"

	"kingcupwood.example/kingcupwood/lib/settings"
)

// Settings are the settings of a daemon, as read from its INI file.
type Settings struct {
	Daemon struct {
		// Instance is the unique name of the instance, FailureDomain where it runs.
		Instance      string `key:"instance"`
		FailureDomain string `key:"failure-domain"`
		// DrainTime is how long a stopping daemon stays reachable for callers after it has announced
		// that it is draining; StopTime bounds the wait for requests in flight after that.
		DrainTime time.Duration `key:"drain-time" default:"2s"`
		StopTime  time.Duration `key:"stop-time" default:"30s"`
		// Threads bounds the threads that run Go code at a time.
		Threads int `key:"threads" default:"2"`
		// MemoryLimitMB is the size in units of 1e6 bytes above which the garbage collector works
		// harder; the heap may exceed it.
		MemoryLimitMB int    `key:"memory-limit" default:"80"`
		LogLevel      string `key:"log-level" default:"info"`
	} `section:"daemon"`
	Listen struct {
		// Callers takes HTTP requests of callers, Announcements those of the backend server on this
		// instance, Administration those of operators.
		Callers        netip.AddrPort `key:"callers"`
		Announcements  netip.AddrPort `key:"announcements"`
		Administration netip.AddrPort `key:"administration"`
		// Calls takes call frames, RPC net/rpc and Probes UDP probes of other daemons.
		Calls  netip.AddrPort `key:"calls"`
		RPC    netip.AddrPort `key:"rpc"`
		Probes netip.AddrPort `key:"probes"`
	} `section:"listen"`
	Peers struct {
		// Seeds are the net/rpc addresses of some daemons, of which at least one should be running.
		Seeds []netip.AddrPort `key:"seeds" optional:"true"`
	} `section:"peers"`
	// Security names the files for authentication between daemons: all of them, or none.
	Security struct {
		Certificate string `key:"certificate" optional:"true"`
		PrivateKey  string `key:"private-key" optional:"true"`
		Authority   string `key:"authority" optional:"true"`
		ProbeKeys   string `key:"probe-keys" optional:"true"`
	} `section:"security"`
	Platform struct {
		TableURL  string `key:"table-url"`
		ObjectURL string `key:"object-url"`
		Region    string `key:"region" default:"local"`
		Table     string `key:"table" default:"kingcupwood"`
		Bucket    string `key:"bucket" default:"kingcupwood"`
		AccessKey string `key:"access-key"`
		SecretKey string `key:"secret-key"`
	} `section:"platform"`
}

// minMemoryLimitMB leaves room for the records and the configuration of the target, about 40 MB; a
// smaller limit would keep the garbage collector busy.
const minMemoryLimitMB = 50

// LoadSettings reads the settings of a daemon. It returns settings.Errors with every fault found.
func LoadSettings(path string) (*Settings, error) {
	var s Settings
	if err := settings.Load(path, &s); err != nil {
		return nil, err
	}
	if err := s.check(path); err != nil {
		return nil, err
	}
	return &s, nil
}

func (s *Settings) check(path string) error {
	var faults settings.Errors
	fail := func(section, key, reason string) {
		faults = append(faults, &settings.Error{File: path, Section: section, Key: key, Reason: reason})
	}
	if strings.TrimSpace(s.Daemon.Instance) == "" {
		fail("daemon", "instance", "must not be empty")
	}
	if strings.TrimSpace(s.Daemon.FailureDomain) == "" {
		fail("daemon", "failure-domain", "must not be empty")
	}
	if s.Daemon.Threads < 1 {
		fail("daemon", "threads", "must be at least 1")
	}
	if s.Daemon.MemoryLimitMB < minMemoryLimitMB {
		fail("daemon", "memory-limit", fmt.Sprintf("must be at least %d MB", minMemoryLimitMB))
	}
	if _, err := s.logLevel(); err != nil {
		fail("daemon", "log-level", err.Error())
	}
	s.checkSecurity(fail)
	if !isHTTP(s.Platform.TableURL) {
		fail("platform", "table-url", "must start with http:// or https://")
	}
	if !isHTTP(s.Platform.ObjectURL) {
		fail("platform", "object-url", "must start with http:// or https://")
	}
	if len(faults) > 0 {
		return faults
	}
	return nil
}

func isHTTP(url string) bool {
	return strings.HasPrefix(url, "http://") || strings.HasPrefix(url, "https://")
}

func (s *Settings) logLevel() (zapcore.Level, error) {
	level, err := zapcore.ParseLevel(s.Daemon.LogLevel)
	if err != nil || level > zapcore.ErrorLevel {
		return level, errors.Errorf("%q is not debug, info, warn or error", s.Daemon.LogLevel)
	}
	return level, nil
}
