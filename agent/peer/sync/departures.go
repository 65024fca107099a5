package sync

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/membership"
)

// departureMembers is the number of members that are asked for departures at a time. A departure reaches a few members
// of each domain before it is confirmed, and the others within seconds.
const departureMembers = 8

// StoreRestored reports whether the store was ever restored from an older copy, as far as this daemon knows.
func (f *Follower) StoreRestored() bool { return f.RestoreStatus().Era > 0 }

// RememberedDepartures asks some members what they remember of the departures of backend servers on this instance. It
// returns an error if none of them answers, but not if this daemon has joined and has no other members.
func (f *Follower) RememberedDepartures(ctx context.Context) ([]endpoint.DepartureMark, error) {
	joined, members := f.Joined(), 0
	f.cfg.Members.Do(func(_ time.Time, s *membership.State) { members = s.Size() })
	if joined && members <= 1 {
		return nil, nil
	}
	addrs := f.randomMembers(departureMembers) // none until the view with the members is published
	var mu sync.Mutex
	var marks []endpoint.DepartureMark
	answered, err := false, errors.New("no member is known")
	var asked sync.WaitGroup
	for _, addr := range addrs {
		asked.Go(func() {
			var reply DeparturesReply
			failure := callOnce(ctx, f.dial, addr, queryTimeout, "Departures", DeparturesArgs{f.cfg.Self.Instance}, &reply)
			mu.Lock()
			defer mu.Unlock()
			if failure != nil {
				err = failure
				return
			}
			answered, marks = true, append(marks, reply.Marks...)
		})
	}
	asked.Wait()
	if !answered {
		return nil, errors.Wrap(err, "departures")
	}
	return marks, nil
}

// Departures answers Follower.RememberedDepartures of another daemon.
func (s *service) Departures(args DeparturesArgs, reply *DeparturesReply) (err error) {
	defer s.log.ContainError("sync", &err)
	s.members.Do(func(_ time.Time, m *membership.State) { reply.Marks = slices.Clip(m.Departures(args.Instance)) })
	return nil
}
