package agent

import (
	"fmt"
	"net/netip"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap/zapcore"

	"kingcupwood.example/kingcupwood/lib/settings"
)

// Settings are the settings of a daemon, as read from its INI file.
type Settings struct {
	Daemon struct {
		// Instance is the unique name of the instance, FailureDomain the one in which it runs.
		Instance      string `key:"instance"`
		FailureDomain string `key:"failure-domain"`
		// DrainTime is the time for which a stopping daemon stays reachable for callers after it has
		// announced that it is draining; StopTime limits the wait for requests in flight after that.
		DrainTime time.Duration `key:"drain-time" default:"2s"`
		StopTime  time.Duration `key:"stop-time" default:"30s"`
		// ServeTime is the part of DrainTime during which a stopping daemon still accepts requests of
		// other daemons for its backend server.
		ServeTime time.Duration `key:"serve-time" default:"0s"`
		// Threads limits the threads that run Go code simultaneously.
		Threads int `key:"threads" default:"2"`
		// MemoryLimitMB is the soft memory limit of the garbage collector in units of 1e6 bytes; the
		// heap may exceed it.
		MemoryLimitMB int    `key:"memory-limit" default:"80"`
		LogLevel      string `key:"log-level" default:"info"`
		// LinkRate is the rate of the network link of the instance in Mbit/s, zero if unknown. With a
		// rate, large request bodies are scheduled so that they do not delay small requests.
		LinkRate float64 `key:"link-rate" default:"0"`
	} `section:"daemon"`
	Listen struct {
		// Callers receives HTTP requests of callers, Announcements those of the backend server on this
		// instance, Administration those of operators.
		Callers        netip.AddrPort `key:"callers"`
		Announcements  netip.AddrPort `key:"announcements"`
		Administration netip.AddrPort `key:"administration"`
		// Calls receives call frames, RPC net/rpc requests and Probes UDP probes of other daemons.
		Calls  netip.AddrPort `key:"calls"`
		RPC    netip.AddrPort `key:"rpc"`
		Probes netip.AddrPort `key:"probes"`
		// Readiness receives the readiness checks of the platform; it requires an adapter.
		Readiness netip.AddrPort `key:"readiness" optional:"true"`
		// Metrics serves the metrics and the service-level report.
		Metrics netip.AddrPort `key:"metrics" optional:"true"`
	} `section:"listen"`
	// Advertise holds the addresses at which other daemons reach this one if they differ from the
	// listen addresses, for example behind a relay or address translation.
	Advertise struct {
		Calls  netip.AddrPort `key:"calls" optional:"true"`
		RPC    netip.AddrPort `key:"rpc" optional:"true"`
		Probes netip.AddrPort `key:"probes" optional:"true"`
	} `section:"advertise"`
	Peers struct {
		// Seeds are the net/rpc addresses of some daemons, of which at least one should be running.
		Seeds []netip.AddrPort `key:"seeds" optional:"true"`
	} `section:"peers"`
	// Security names the files for authentication between daemons. Either all or none must be set.
	Security struct {
		Certificate string `key:"certificate" optional:"true"`
		PrivateKey  string `key:"private-key" optional:"true"`
		Authority   string `key:"authority" optional:"true"`
		ProbeKeys   string `key:"probe-keys" optional:"true"`
	} `section:"security"`
	// Backend holds the settings for the backend server on this instance.
	Backend struct {
		// Service is that of the backend server on this instance: announcements of another one are rejected, and it is
		// sent to other backend servers as the origin of requests from this instance.
		Service string `key:"service" optional:"true"`
		// AnnouncementLifetime is the time after which an announcement that is not renewed expires.
		AnnouncementLifetime time.Duration `key:"announcement-lifetime" default:"3s"`
	} `section:"backend"`
	// Retries limits the retries of each service across all daemons; it requires an adapter.
	Retries struct {
		// Ratio is the maximum share of retries among the requests in a window, Slack the number of
		// retries in a window that is always allowed.
		Ratio  float64       `key:"ratio" default:"0.1"`
		Slack  int           `key:"slack" default:"30"`
		Window time.Duration `key:"window" default:"10s"`
	} `section:"retries"`
	// UsageCaps bounds the requests of a client account above its usage cap, over all daemons.
	UsageCaps struct {
		// Window is the time in which requests are counted, Excess the tolerated share and Slack the tolerated
		// number of requests above those that the cap allows in a window.
		Window time.Duration `key:"window" default:"5s"`
		Excess float64       `key:"excess" default:"0.1"`
		Slack  int           `key:"slack" default:"20"`
	} `section:"usage-caps"`
	Distribution struct {
		// ApplyTime is the time within which a change of the configuration must be in force on all
		// daemons that reach the platform; it requires an adapter.
		ApplyTime time.Duration `key:"apply-time" default:"5s"`
	} `section:"distribution"`
	// Rollouts holds the settings of roll-outs of backend server versions; they require an adapter.
	Rollouts struct {
		// ExposureShare is the largest share of the requests of a service that a bad version may get during
		// its roll-out, beyond ExposureSlack requests. Zero switches roll-outs off: servers are then not
		// distinguished by version.
		ExposureShare float64 `key:"exposure-share" default:"0"`
		ExposureSlack int     `key:"exposure-slack" default:"50"`
		// RollbackTime is the time after which a version that is recognizably bad gets no more requests.
		RollbackTime time.Duration `key:"rollback-time" default:"5s"`
	} `section:"rollouts"`
	Platform struct {
		// Adapter names the adapter for a platform with its own protocols, and Address is the address of
		// its store. The other keys apply to a platform with a table service and an object store.
		Adapter   string         `key:"adapter" optional:"true"`
		Address   netip.AddrPort `key:"address" optional:"true"`
		TableURL  string         `key:"table-url" optional:"true"`
		ObjectURL string         `key:"object-url" optional:"true"`
		Region    string         `key:"region" default:"local"`
		Table     string         `key:"table" default:"kingcupwood"`
		Bucket    string         `key:"bucket" default:"kingcupwood"`
		AccessKey string         `key:"access-key" optional:"true"`
		SecretKey string         `key:"secret-key" optional:"true"`
	} `section:"platform"`
}

// minMemoryLimitMB leaves room for the records and the configuration of a deployment of the target
// size, about 40 MB; with a smaller limit the garbage collector would run constantly.
const minMemoryLimitMB = 50

// minApplyTime leaves a reader of the configuration time for the pause between two reads.
const minApplyTime = 1500 * time.Millisecond

// minRetryWindow keeps the subdivisions of the retry budget window above the timer resolution.
const minRetryWindow = 100 * time.Millisecond

// minUsageWindow keeps the lifetime of lent tokens, which follows from the window, above an exchange between daemons.
const minUsageWindow = time.Second

// maxLinkRate is the largest rate of a link in Mbit/s; a larger one is probably in another unit.
const maxLinkRate = 1_000_000

// bytesPerMbit is the number of bytes in a megabit.
const bytesPerMbit = 1e6 / 8

// LoadSettings reads the settings of a daemon. It returns settings.Errors with all errors found.
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
	if s.Daemon.ServeTime > s.Daemon.DrainTime {
		fail("daemon", "serve-time", "must not be above drain-time")
	}
	if s.Daemon.Threads < 1 {
		fail("daemon", "threads", "must be at least 1")
	}
	if s.Daemon.MemoryLimitMB < minMemoryLimitMB {
		fail("daemon", "memory-limit", fmt.Sprintf("must be at least %d MB", minMemoryLimitMB))
	}
	if !(s.Daemon.LinkRate >= 0 && s.Daemon.LinkRate <= maxLinkRate) {
		fail("daemon", "link-rate", "must be between 0 and "+strconv.Itoa(maxLinkRate)+" (Mbit/s)")
	}
	if _, err := s.logLevel(); err != nil {
		fail("daemon", "log-level", err.Error())
	}
	if s.Distribution.ApplyTime < minApplyTime {
		fail("distribution", "apply-time", "must be at least "+minApplyTime.String())
	}
	s.checkSecurity(fail)
	s.checkPlatform(fail)
	s.checkRetries(fail)
	s.checkRollouts(fail)
	s.checkUsageCaps(fail)
	if len(faults) > 0 {
		return faults
	}
	return nil
}

// checkPlatform checks the keys of the platform section: those for an adapter, or those for the
// table service and the object store.
func (s *Settings) checkPlatform(fail func(section, key, reason string)) {
	p := &s.Platform
	if p.Adapter != "" {
		if !p.Address.IsValid() {
			fail("platform", "address", "is required with an adapter")
		}
		if !s.Listen.Readiness.IsValid() {
			fail("listen", "readiness", "is required with an adapter")
		}
		return
	}
	for _, item := range []struct{ key, url string }{{"table-url", p.TableURL}, {"object-url", p.ObjectURL}} {
		if !isHTTP(item.url) {
			fail("platform", item.key, "must start with http:// or https://")
		}
	}
	for _, item := range []struct{ key, value string }{{"access-key", p.AccessKey}, {"secret-key", p.SecretKey}} {
		if item.value == "" {
			fail("platform", item.key, "a value is required")
		}
	}
}

func (s *Settings) checkRetries(fail func(section, key, reason string)) {
	r := &s.Retries
	if !(r.Ratio >= 0 && r.Ratio <= 1) {
		fail("retries", "ratio", "must be between 0 and 1")
	}
	if r.Slack < 0 {
		fail("retries", "slack", "must not be negative")
	}
	if r.Window < minRetryWindow {
		fail("retries", "window", "must be at least "+minRetryWindow.String())
	}
	if s.Backend.AnnouncementLifetime <= 0 {
		fail("backend", "announcement-lifetime", "must be above 0s")
	}
}

// minRollbackTime leaves time until every daemon knows of a roll-back.
const minRollbackTime = 2 * time.Second

func (s *Settings) checkRollouts(fail func(section, key, reason string)) {
	r := &s.Rollouts
	if !(r.ExposureShare >= 0 && r.ExposureShare <= maxExposureShare) {
		fail("rollouts", "exposure-share", fmt.Sprintf("must be between 0 and %g", maxExposureShare))
	}
	if r.ExposureShare > 0 && s.Platform.Adapter == "" {
		fail("rollouts", "exposure-share", "requires an adapter")
	}
	if r.ExposureSlack < 0 {
		fail("rollouts", "exposure-slack", "must not be negative")
	}
	if r.RollbackTime < minRollbackTime {
		fail("rollouts", "rollback-time", "must be at least "+minRollbackTime.String())
	}
}

// maxExposureShare is the first step of the share after a good judgement, which must not be lower than the
// share before it.
const maxExposureShare = 0.25

func (s *Settings) checkUsageCaps(fail func(section, key, reason string)) {
	u := &s.UsageCaps
	if u.Window < minUsageWindow {
		fail("usage-caps", "window", "must be at least "+minUsageWindow.String())
	}
	if !(u.Excess >= 0 && u.Excess <= 1) {
		fail("usage-caps", "excess", "must be between 0 and 1")
	}
	if u.Slack < 0 {
		fail("usage-caps", "slack", "must not be negative")
	}
}

// sameSettings reports whether a and b have the same values.
func sameSettings(a, b *Settings) bool { return reflect.DeepEqual(a, b) }

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
