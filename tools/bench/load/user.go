package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/pkg/answers"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
	"kingcupwood.example/kingcupwood/tools/fleet"
)

// user is one of the users of section 3 of the design page.
type user struct {
	name string
	// services are in an order in which each one comes after those that it calls.
	services []*snapshot.Service
	// callerDelay is the latency in one direction between the callers and the daemons.
	callerDelay time.Duration
	// internal names the kinds whose callers are beside the daemons.
	internal []string
}

// domains are the failure domains of a user; the instances are assigned to them in turn.
var domains = []string{"a", "b", "c"}

// loadUsers reads the answers of both users and stretches them by the factor scale: rates are
// multiplied and times divided by it, so that slots and utilisation stay as declared.
func loadUsers(dir string, scale float64) ([]*user, error) {
	association, err := loadUser(filepath.Join(dir, "association"), scale, "finder", "pages")
	if err != nil {
		return nil, err
	}
	association.callerDelay = time.Millisecond
	nilufer, err := loadUser(filepath.Join(dir, "nilufer"), scale, "catalogue", "ordering")
	if err != nil {
		return nil, err
	}
	nilufer.callerDelay = 8 * time.Millisecond
	nilufer.internal = []string{"pot-size"}
	return []*user{association, nilufer}, nil
}

func loadUser(dir string, scale float64, services ...string) (*user, error) {
	u := &user{name: filepath.Base(dir)}
	for _, name := range services {
		file := filepath.Join(dir, name+".ini")
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.Wrap(err, "read answers")
		}
		parsed, faults := answers.Parse(file, data)
		if err := faults.Err(); err != nil {
			return nil, err
		}
		s := answers.Generate(parsed)
		for i := range s.Kinds {
			k := &s.Kinds[i]
			k.ExpectedRate *= scale
			k.ServiceTime = stretch(k.ServiceTime, scale)
			k.Deadline = stretch(k.Deadline, scale)
		}
		u.services = append(u.services, s)
	}
	return u, nil
}

// stretch divides a time by scale, rounded to the milliseconds of an answer file.
func stretch(d time.Duration, scale float64) time.Duration {
	return max(time.Duration(float64(d)/scale).Round(time.Millisecond), time.Millisecond)
}

func (u *user) service(name string) *snapshot.Service {
	i := slices.IndexFunc(u.services, func(s *snapshot.Service) bool { return s.Name == name })
	return u.services[i]
}

// called returns the kind that a request of k calls, or nil.
func (u *user) called(k *snapshot.Kind) (string, *snapshot.Kind) {
	if len(k.Calls) == 0 {
		return "", nil
	}
	service, kind, _ := strings.Cut(k.Calls[0], "/")
	s := u.service(service)
	i := slices.IndexFunc(s.Kinds, func(k snapshot.Kind) bool { return k.Name == kind })
	return service, &s.Kinds[i]
}

// ownTime returns how long a backend server works on a request of k itself. The declared service time
// includes the call to another service.
func (u *user) ownTime(k *snapshot.Kind) time.Duration {
	if _, inner := u.called(k); inner != nil {
		return max(k.ServiceTime-inner.ServiceTime, 0)
	}
	return k.ServiceTime
}

// slotTime returns how long a request of k holds a slot, including the call to another service.
func (u *user) slotTime(k *snapshot.Kind) time.Duration {
	d := u.ownTime(k)
	if _, inner := u.called(k); inner != nil {
		d += inner.ServiceTime
	}
	return d
}

// directRate returns the declared rate of k without the part that other services call, per second.
func (u *user) directRate(s *snapshot.Service, k *snapshot.Kind) float64 {
	rate := k.ExpectedRate
	for _, other := range u.services {
		for i := range other.Kinds {
			if service, inner := u.called(&other.Kinds[i]); inner != nil && service == s.Name && inner.Name == k.Name {
				rate -= other.Kinds[i].ExpectedRate
			}
		}
	}
	return max(rate, 0)
}

// floodRate returns the rate at which k alone needs times the capacity of its service.
func (u *user) floodRate(s *snapshot.Service, k *snapshot.Kind, times float64) float64 {
	return times * float64(s.Slots*s.Servers) / u.slotTime(k).Seconds()
}

// extreme returns the most or the least urgent kind of s. Among kinds of one rank it is the one with
// the lower declared rate, which is harder to protect.
func extreme(s *snapshot.Service, most bool) *snapshot.Kind {
	best := &s.Kinds[0]
	for i := range s.Kinds {
		k := &s.Kinds[i]
		if most && k.Rank < best.Rank || !most && k.Rank > best.Rank || k.Rank == best.Rank && k.ExpectedRate < best.ExpectedRate {
			best = k
		}
	}
	return best
}

// path returns a path of k that no other kind of the service has, whatever the method, since the
// stand-in backend server tells kinds apart by the path alone.
func path(k *snapshot.Kind) string {
	return strings.TrimSuffix(k.PathPrefix, "/") + "/" + k.Name
}

// answerFile returns s in the format of an answer file.
func answerFile(s *snapshot.Service) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "[service]\nname = %s\nteam = %s\ncapacity-slots = %d\ncapacity-connections = %d\nservers = %d\n",
		s.Name, s.Team, s.Slots, s.Connections, s.Servers)
	if len(s.DependsOn) > 0 {
		fmt.Fprintf(&b, "depends-on = %s\n", strings.Join(s.DependsOn, ", "))
	}
	for i := range s.Kinds {
		writeKind(&b, &s.Kinds[i])
	}
	return []byte(b.String())
}

func writeKind(b *strings.Builder, k *snapshot.Kind) {
	idempotent := "no"
	if k.Idempotent {
		idempotent = "yes"
	}
	fmt.Fprintf(b, "[kind %s]\nmatch = %s %s\nrank = %d\nidempotent = %s\ndeadline = %v\nexpected-rate = %.6f/s\n"+
		"service-time = %v\nworth = %d\nobjective = %.2f%%\n", k.Name, k.Method, k.PathPrefix, k.Rank, idempotent,
		milliseconds(k.Deadline), k.ExpectedRate, milliseconds(k.ServiceTime), k.Worth, 100*k.Objective)
	if len(k.Calls) > 0 {
		fmt.Fprintf(b, "calls = %s\n", strings.Join(k.Calls, ", "))
	}
}

func milliseconds(d time.Duration) string { return fmt.Sprintf("%dms", d.Milliseconds()) }

// serverConfig returns the settings of a backend server of s whose service times are multiplied by slowness.
func (u *user) serverConfig(s *snapshot.Service, slowness int) fleet.ServerConfig {
	var times, calls []string
	for i := range s.Kinds {
		k := &s.Kinds[i]
		times = append(times, fmt.Sprintf("%s=%v", path(k), u.ownTime(k)*time.Duration(slowness)))
		if service, inner := u.called(k); inner != nil {
			calls = append(calls, fmt.Sprintf("%s=%s%s", path(k), service, path(inner)))
		}
	}
	work := []string{"service-times = " + strings.Join(times, ", "), fmt.Sprintf("response-bytes = %d", responseBytes)}
	if len(calls) > 0 {
		work = append(work, "calls = "+strings.Join(calls, ", "))
	}
	return fleet.ServerConfig{Service: s.Name, Slots: s.Slots, Connections: s.Connections, Extra: map[string][]string{"work": work}}
}
