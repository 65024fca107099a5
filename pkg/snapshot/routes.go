package snapshot

import (
	"fmt"
	"strings"
	"time"
)

// Limits of the values of a route.
const (
	// MaxRoutes limits the routes of a service.
	MaxRoutes = 8192
	// MaxDestinations limits the services among which the requests of a route are split.
	MaxDestinations = 64
	// MaxAttemptsLimit is the upper limit of Route.MaxAttempts.
	MaxAttemptsLimit = 64
	// maxHostBytes is the maximum length of a DNS name.
	maxHostBytes = 253
)

// Destination is a service that receives a share of the requests of a route.
type Destination struct {
	Service string `cbor:"1,keyasint"`
	// Weight is the share relative to the sum of the weights of the route.
	Weight int `cbor:"2,keyasint"`
}

// Route directs the requests for a host and a path prefix to the services that run them. A
// configuration that is written as a whole uses routes; one that is generated from answers uses
// kinds, and its callers address the service by name.
type Route struct {
	// Kind holds the common properties of the requests. Its PathPrefix begins and ends with a
	// slash; its Deadline is the maximum time that a caller waits. Rate and service time are not
	// declared but measured at run time.
	Kind Kind   `cbor:"1,keyasint"`
	Host string `cbor:"2,keyasint"`
	// Target is the time within which a response has its full worth; zero means unknown.
	Target time.Duration `cbor:"3,keyasint,omitempty"`
	// MaxAttempts is the maximum number of servers to which one request is sent, at least 1.
	MaxAttempts int `cbor:"4,keyasint"`
	// Split lists the services among which the requests are split. If it is empty, the service that
	// owns the route receives all requests.
	Split []Destination `cbor:"5,keyasint,omitempty"`
	// Public admits requests without an API key if the configuration has client accounts.
	Public bool `cbor:"6,keyasint,omitempty"`
}

// Limits bounds the requests and connections of callers. Zero values select the defaults of the
// daemon.
type Limits struct {
	HeaderBytes int `cbor:"1,keyasint,omitempty"`
	BodyBytes   int `cbor:"2,keyasint,omitempty"`
	// HeaderTimeout limits the time to receive the header of a request, IdleTimeout the time that a
	// connection stays open without a request.
	HeaderTimeout time.Duration `cbor:"3,keyasint,omitempty"`
	IdleTimeout   time.Duration `cbor:"4,keyasint,omitempty"`
}

// RouteEntry is a route together with the service that owns it.
type RouteEntry struct {
	Route   *Route
	Service *Service
	// totalWeight is the sum of the weights of Split, 0 if Split is empty.
	totalWeight int
}

// routeTable maps host and path prefix to the route.
type routeTable map[string]map[string]*RouteEntry

// newRouteTable returns the table of the routes of all services, or nil if there are no routes.
func newRouteTable(services map[string]*Service) routeTable {
	var table routeTable
	for _, service := range services {
		for i := range service.Routes {
			if table == nil {
				table = routeTable{}
			}
			table.add(service, &service.Routes[i])
		}
	}
	return table
}

func (t routeTable) add(service *Service, route *Route) {
	host := canonicalHost(route.Host)
	prefixes := t[host]
	if prefixes == nil {
		prefixes = map[string]*RouteEntry{}
		t[host] = prefixes
	}
	entry := &RouteEntry{Route: route, Service: service}
	for _, d := range route.Split {
		entry.totalWeight += d.Weight
	}
	prefixes[route.Kind.PathPrefix] = entry
}

// canonicalHost returns host in the spelling that is used for comparisons: letter case and the dot of a
// fully qualified name do not distinguish hosts.
func canonicalHost(host string) string { return strings.TrimSuffix(strings.ToLower(host), ".") }

// HasRoutes reports whether the configuration routes requests by host and path.
func (s *Snapshot) HasRoutes() bool { return s != nil && s.routesByHost != nil }

// FindRoute returns the route of host with the longest prefix of path, or nil if none matches. path
// is the path of the request target without the query. FindRoute does not allocate if host is in lower
// case.
func (s *Snapshot) FindRoute(host, path string) *RouteEntry {
	prefixes := s.routesByHost[canonicalHost(host)]
	if prefixes == nil {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if entry := prefixes[path[:end+1]]; entry != nil {
			return entry
		}
	}
	return nil
}

// Destination selects the service for one request according to the weights. draw is a uniformly
// distributed random number.
func (e *RouteEntry) Destination(draw uint64) string {
	if e.totalWeight <= 0 {
		return e.Service.Name
	}
	position := int(draw % uint64(e.totalWeight))
	for _, d := range e.Route.Split {
		if position -= d.Weight; position < 0 {
			return d.Service
		}
	}
	return e.Service.Name
}

// capacityAnnounced reports whether the capacity of s is announced by its servers because the
// configuration declares none.
func (s *Service) capacityAnnounced() bool {
	return len(s.Kinds) == 0 && s.Slots == 0 && s.Servers == 0
}

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

// checkDuplicateRoutes reports routes with the same host and prefix, as only one of them could
// match.
func (c *checker) checkDuplicateRoutes() {
	seen := map[[2]string]string{}
	for _, name := range c.names {
		c.service, c.kind = c.services[name], nil
		for i := range c.service.Routes {
			r := &c.service.Routes[i]
			key := [2]string{canonicalHost(r.Host), r.Kind.PathPrefix}
			if other, used := seen[key]; used {
				c.kind = &r.Kind
				c.fail(KeyMatch, "a host and prefix that no other route has", "route %q has the same ones", other)
			}
			seen[key] = r.Kind.Name
		}
	}
	c.kind = nil
}
