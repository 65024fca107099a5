package snapshot

import (
	"fmt"
	"strings"
	"time"
)

// Ranges of the values of a route.
const (
	// MaxRoutes bounds the routes of a service.
	MaxRoutes = 8192
	// MaxDestinations bounds the services among which a route is split.
	MaxDestinations = 64
	// MaxAttemptsLimit bounds the servers to which one request may be sent.
	MaxAttemptsLimit = 64
	// maxHostBytes is the limit of a DNS name.
	maxHostBytes = 253
)

// Destination is a service that gets a share of the requests of a route.
type Destination struct {
	Service string `cbor:"1,keyasint"`
	// Weight is the share in relation to the sum of the weights of the route.
	Weight int `cbor:"2,keyasint"`
}

// Route leads the requests for a host and a path prefix to the services that run them. A configuration
// that is written as a whole has routes; one that is generated from answers has kinds instead, which
// callers reach by the name of their service.
type Route struct {
	// Kind holds what the requests of the route have in common; its PathPrefix begins and ends with a
	// slash, Deadline is the longest time that a caller is kept waiting. Rate and service time are
	// not declared but learned.
	Kind Kind   `cbor:"1,keyasint"`
	Host string `cbor:"2,keyasint"`
	// Target is the time within which an answer has its full worth; zero means unknown.
	Target time.Duration `cbor:"3,keyasint,omitempty"`
	// MaxAttempts bounds the servers to which one request may be sent, at least 1.
	MaxAttempts int `cbor:"4,keyasint"`
	// Split lists the services that share the requests. If it is empty, the service that holds the
	// route gets all of them.
	Split []Destination `cbor:"5,keyasint,omitempty"`
}

// Limits bounds what callers may send. Zero values stand for the defaults of the daemon.
type Limits struct {
	HeaderBytes int `cbor:"1,keyasint,omitempty"`
	BodyBytes   int `cbor:"2,keyasint,omitempty"`
	// HeaderTimeout bounds the time in which the header of a request arrives, IdleTimeout the time
	// for which a connection stays open without a request.
	HeaderTimeout time.Duration `cbor:"3,keyasint,omitempty"`
	IdleTimeout   time.Duration `cbor:"4,keyasint,omitempty"`
}

// RouteEntry is a route with the service that holds it.
type RouteEntry struct {
	Route   *Route
	Service *Service
	// weights is the sum of the weights of the split, 0 without one.
	weights int
}

// hostTable finds routes by host and path prefix.
type hostTable map[string]map[string]*RouteEntry

// newHostTable returns the table for the routes of all services, nil without any.
func newHostTable(services map[string]*Service) hostTable {
	var table hostTable
	for _, service := range services {
		for i := range service.Routes {
			if table == nil {
				table = hostTable{}
			}
			table.add(service, &service.Routes[i])
		}
	}
	return table
}

func (t hostTable) add(service *Service, route *Route) {
	prefixes := t[route.Host]
	if prefixes == nil {
		prefixes = map[string]*RouteEntry{}
		t[route.Host] = prefixes
	}
	target := &RouteEntry{Route: route, Service: service}
	for _, d := range route.Split {
		target.weights += d.Weight
	}
	prefixes[route.Kind.PathPrefix] = target
}

// HasRoutes reports whether the configuration leads requests by host and path.
func (s *Snapshot) HasRoutes() bool { return s != nil && s.hosts != nil }

// FindRoute returns the route with the longest prefix of path among those of host, nil without one. path
// is that of the request target without the query. It does not allocate.
func (s *Snapshot) FindRoute(host, path string) *RouteEntry {
	prefixes := s.hosts[host]
	if prefixes == nil {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if target := prefixes[path[:end+1]]; target != nil {
			return target
		}
	}
	return nil
}

// Destination returns the service for one request. draw is a uniform random number.
func (t *RouteEntry) Destination(draw uint64) string {
	if t.weights <= 0 {
		return t.Service.Name
	}
	at := int(draw % uint64(t.weights))
	for _, d := range t.Route.Split {
		if at -= d.Weight; at < 0 {
			return d.Service
		}
	}
	return t.Service.Name
}

// announced reports whether servers announce the capacity of s, which no answers declare.
func (s *Service) announced() bool { return len(s.Kinds) == 0 && s.Slots == 0 && s.Servers == 0 }

// checkRoutes checks the routes of the service.
func (c *checker) checkRoutes() {
	if len(c.service.Routes) > MaxRoutes {
		c.fail(KeyMatch, fmt.Sprintf("up to %d routes", MaxRoutes), "the service has %d routes", len(c.service.Routes))
		return
	}
	for i := range c.service.Routes {
		c.checkRoute(&c.service.Routes[i])
	}
	c.kind = nil
}

func (c *checker) checkRoute(r *Route) {
	c.kind = &r.Kind
	prefix := r.Kind.PathPrefix
	if !strings.HasPrefix(prefix, "/") || !strings.HasSuffix(prefix, "/") || len(prefix) > maxPrefixBytes {
		c.fail(KeyMatch, "a path that begins and ends with /", "%q is not a prefix of a route", prefix)
	}
	if r.Host == "" || len(r.Host) > maxHostBytes {
		c.fail(KeyMatch, "a host name", "%q is not a host", r.Host)
	}
	c.checkRange(KeyRank, r.Kind.Rank, MinRank, MaxRank)
	c.checkRange(KeyMatch, r.MaxAttempts, 1, MaxAttemptsLimit)
	if r.Kind.Deadline <= 0 || r.Kind.Deadline > MaxDeadline || r.Target < 0 {
		c.fail(KeyDeadline, "a duration up to "+MaxDeadline.String(), "%s with target %s is out of range", r.Kind.Deadline, r.Target)
	}
	c.checkSplit(r)
}

func (c *checker) checkSplit(r *Route) {
	if len(r.Split) > MaxDestinations {
		c.fail(KeyMatch, fmt.Sprintf("up to %d services", MaxDestinations), "the route is split among %d services", len(r.Split))
	}
	sum := 0
	for _, d := range r.Split {
		sum += d.Weight
		if c.services[d.Service] == nil {
			c.add(Problem{Key: KeyMatch, Reason: fmt.Sprintf("there is no service %q", d.Service), Expected: "names of services", Unknown: d.Service})
		}
		if d.Weight < 0 {
			c.fail(KeyMatch, "weights of 0 or more", "the weight of %q is %d", d.Service, d.Weight)
		}
	}
	if len(r.Split) > 0 && sum <= 0 {
		c.fail(KeyMatch, "a weight above 0", "all weights of the route are 0")
	}
}

// checkHosts reports routes of which one can never match because another one has the same host and prefix.
func (c *checker) checkHosts() {
	seen := map[[2]string]string{}
	for _, name := range c.names {
		c.service, c.kind = c.services[name], nil
		for i := range c.service.Routes {
			r := &c.service.Routes[i]
			key := [2]string{r.Host, r.Kind.PathPrefix}
			if other, used := seen[key]; used {
				c.kind = &r.Kind
				c.fail(KeyMatch, "a host and prefix that no other route has", "route %q has the same ones", other)
			}
			seen[key] = r.Kind.Name
		}
	}
	c.kind = nil
}
