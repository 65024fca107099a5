package snapshot

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// Limits of the values of a service and a kind.
const (
	MinRank = 1
	MaxRank = 9
	// MaxKinds limits the kinds of a service, because Match compares a request with each of them.
	MaxKinds = 64
	// MaxReferences limits the services in depends-on and the kinds in calls, because validation
	// compares the items of each list pairwise.
	MaxReferences = 64
	// MaxServers is the number of servers for which the system is designed. MaxSlots and
	// MaxConnections apply to each server.
	MaxServers     = 16000
	MaxSlots       = 65536
	MaxConnections = 65536
	// MaxDeadline limits the time that a request may occupy the daemons on its path.
	MaxDeadline = 10 * time.Minute
	// MaxRate limits the declared rate in requests per second. The system is designed for a total
	// of 1.9 million requests per second.
	MaxRate = 10e6
	// MaxWorth limits the worth so that sums in reports cannot overflow.
	MaxWorth = 1_000_000

	maxPrefixBytes = 512
)

// Methods lists the HTTP methods that a kind can match.
var Methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// maxNameBytes is the maximum length of a DNS label, because the Host header contains the service
// name.
const maxNameBytes = 63

// ValidName reports whether name is valid for a service, a team or a kind: lower-case letters,
// digits and hyphens, with a letter first and no hyphen at the end. It does not use a regular
// expression: every applied version checks all names, and a regular expression took a quarter of
// the time of applying it.
func ValidName(name string) bool {
	if name == "" || len(name) > maxNameBytes || name[len(name)-1] == '-' {
		return false
	}
	for i := range len(name) {
		letter := name[i] >= 'a' && name[i] <= 'z'
		if !letter && (i == 0 || (name[i] != '-' && (name[i] < '0' || name[i] > '9'))) {
			return false
		}
	}
	return true
}

// Validate checks the complete configuration. It returns nil or Problems.
func (s *Snapshot) Validate() error {
	problems := Check(s.Services)
	c := accountChecker{}
	for a := range s.allAccounts() {
		c.check(a)
	}
	if problems = append(problems, c.problems...); len(problems) > 0 {
		return problems
	}
	return nil
}

// Check returns all violations of the rules, sorted by service name. A value that is out of range
// is reported once; rules that depend on it are skipped.
func Check(services map[string]*Service) Problems {
	c := &checker{services: services, names: slices.Sorted(maps.Keys(services))}
	for _, name := range c.names {
		c.service = services[name]
		c.checkService(name)
		c.checkReferences()
	}
	c.checkDuplicateRoutes()
	c.checkCycles()
	c.checkChains()
	slices.SortStableFunc(c.problems, func(a, b Problem) int { return strings.Compare(a.Service, b.Service) })
	return c.problems
}

// checker collects problems. service and kind are those under check; kind is nil for checks of the
// service as a whole.
type checker struct {
	services map[string]*Service
	names    []string
	service  *Service
	kind     *Kind
	problems Problems
}

func (c *checker) add(p Problem) {
	p.Service = c.service.Name
	if c.kind != nil {
		p.Kind = c.kind.Name
	}
	c.problems = append(c.problems, p)
}

func (c *checker) fail(key, expected, format string, args ...any) {
	c.add(Problem{Key: key, Expected: expected, Reason: fmt.Sprintf(format, args...)})
}

const expectedName = "lower-case letters, digits and hyphens, a letter first, at most 63 characters"

func (c *checker) checkService(name string) {
	s := c.service
	c.kind = nil
	if !ValidName(s.Name) || s.Name != name {
		c.fail(KeyName, expectedName, "%q is not a service name", s.Name)
	}
	c.checkRoutes()
	if s.capacityAnnounced() {
		c.checkRange(KeyConnections, s.Connections, 1, MaxConnections)
		return
	}
	if !ValidName(s.Team) {
		c.fail(KeyTeam, expectedName, "%q is not a team name", s.Team)
	}
	c.checkRange(KeySlots, s.Slots, 1, MaxSlots)
	c.checkRange(KeyServers, s.Servers, 1, MaxServers)
	c.checkRange(KeyConnections, s.Connections, 1, MaxConnections)
	if s.Connections > 0 && s.Connections < s.Slots {
		c.fail(KeyConnections, fmt.Sprintf("at least capacity-slots, which is %d", s.Slots),
			"%d connections cannot use %d slots", s.Connections, s.Slots)
	}
	if len(s.Kinds) == 0 || len(s.Kinds) > MaxKinds {
		c.fail(KeyName, fmt.Sprintf("1 to %d kinds", MaxKinds), "the service has %d kinds", len(s.Kinds))
	}
	c.checkCapacity()
	c.checkKinds()
}

func (c *checker) checkRange(key string, value, low, high int) {
	if value < low || value > high {
		c.fail(key, fmt.Sprintf("a whole number from %d to %d", low, high), "%d is out of range", value)
	}
}

// checkCapacity compares the average number of slots in use at the declared rates with the planned
// number of slots.
func (c *checker) checkCapacity() {
	s := c.service
	if s.Servers <= 0 || s.Slots <= 0 {
		return
	}
	var busySlots float64
	for i := range s.Kinds {
		if rate := s.Kinds[i].ExpectedRate; rate > 0 {
			busySlots += rate * s.Kinds[i].ServiceTime.Seconds()
		}
	}
	if planned := s.Servers * s.Slots; busySlots > float64(planned) {
		c.fail(KeyServers, fmt.Sprintf("at least %.0f servers, lower rates or shorter service times", math.Ceil(busySlots/float64(s.Slots))),
			"the expected rates occupy %.1f slots, but %d servers with %d slots have %d", busySlots, s.Servers, s.Slots, planned)
	}
}

func (c *checker) checkKinds() {
	for i := range c.service.Kinds {
		k := &c.service.Kinds[i]
		c.kind = k
		if !ValidName(k.Name) {
			c.fail(KeyName, expectedName, "%q is not a kind name", k.Name)
		}
		c.checkDuplicates(c.service.Kinds[:i])
		c.checkMatch()
		c.checkValues()
	}
	c.kind = nil
}

func (c *checker) checkDuplicates(earlier []Kind) {
	k := c.kind
	for i := range earlier {
		if earlier[i].Name == k.Name {
			c.fail(KeyName, "a name used once in the service", "kind %q is declared twice", k.Name)
			break
		}
	}
	for i := range earlier {
		if earlier[i].PathPrefix == k.PathPrefix && earlier[i].Method == k.Method {
			c.fail(KeyMatch, "a match that no other kind has", "%q never matches, kind %q has the same match", k.Match(), earlier[i].Name)
			break
		}
	}
}

// Match returns the match in the notation of answer files: the method and the path prefix, or only
// the prefix if the kind matches all methods.
func (k *Kind) Match() string {
	if k.Method == "" {
		return k.PathPrefix
	}
	return k.Method + " " + k.PathPrefix
}

// checkMatch reports a kind that no request can match: matching uses the decoded path without the
// query and compares methods exactly.
func (c *checker) checkMatch() {
	k := c.kind
	if k.Method != "" && !slices.Contains(Methods, k.Method) {
		c.add(Problem{Key: KeyMatch, Expected: "one of " + strings.Join(Methods, ", "), Unknown: k.Method,
			Reason: fmt.Sprintf("no request has the method %q", k.Method)})
	}
	switch {
	case !strings.HasPrefix(k.PathPrefix, "/"):
		c.fail(KeyMatch, "a path that begins with /", "no request has the path %q", k.PathPrefix)
	case strings.ContainsFunc(k.PathPrefix, notInPath):
		c.fail(KeyMatch, "a decoded path without ? # % and spaces", "no request has the path %q", k.PathPrefix)
	case strings.Contains(k.PathPrefix, "//") || hasDotSegment(k.PathPrefix):
		c.fail(KeyMatch, "a path without empty, . and .. segments", "no request has the path %q", k.PathPrefix)
	case len(k.PathPrefix) > maxPrefixBytes:
		c.fail(KeyMatch, fmt.Sprintf("at most %d bytes", maxPrefixBytes), "the path has %d bytes", len(k.PathPrefix))
	}
}

func notInPath(r rune) bool { return r <= ' ' || r == 0x7f || r == '?' || r == '#' || r == '%' }

func hasDotSegment(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

func (c *checker) checkValues() {
	k := c.kind
	c.checkRange(KeyRank, k.Rank, MinRank, MaxRank)
	c.checkRange(KeyWorth, k.Worth, 1, MaxWorth)
	if k.Deadline <= 0 || k.Deadline > MaxDeadline {
		c.fail(KeyDeadline, "a duration up to "+MaxDeadline.String(), "%s is out of range", k.Deadline)
	}
	if k.ServiceTime <= 0 || k.ServiceTime > MaxDeadline {
		c.fail(KeyServiceTime, "a duration up to "+MaxDeadline.String(), "%s is out of range", k.ServiceTime)
	}
	// The negated conditions also reject NaN, which a peer could send.
	if !(k.ExpectedRate > 0 && k.ExpectedRate <= MaxRate) {
		c.fail(KeyExpectedRate, "a rate above 0, such as 40/s", "%v/s is out of range", k.ExpectedRate)
	}
	if !(k.Objective > 0 && k.Objective < 1) {
		c.fail(KeyObjective, "a share above 0% and below 100%, such as 99.9%", "%v%% is out of range", k.Objective*100)
	}
}
