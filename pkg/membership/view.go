package membership

import (
	"maps"
	"slices"
	"strings"
	"time"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

// publish replaces the view if there are changes and the minimum interval since the last one has
// passed. Lists of unchanged services are shared with the previous view.
func (s *State) publish(now time.Time) {
	if len(s.changed) == 0 && !s.reachabilityChanged {
		return
	}
	interval := min(PublishInterval, time.Duration(s.Size())*publishPerMember)
	if !s.lastPublish.IsZero() && now.Sub(s.lastPublish) < interval {
		return
	}
	s.lastPublish = now
	old := s.view.Load()
	if old == nil {
		old = &endpoint.View{}
	}
	next := &endpoint.View{Records: old.Records, ByService: old.ByService, Unreachable: map[string]bool{}, Own: old.Own}
	for _, d := range s.sorted {
		if d.unreachable {
			next.Unreachable[d.name] = true
		}
	}
	if len(s.changed) > 0 {
		s.updateRecords(old, next)
		s.updateOwn(old, next)
	}
	clear(s.changed)
	s.reachabilityChanged = false
	s.view.Store(next)
}

func (s *State) updateRecords(old, next *endpoint.View) {
	next.Records, next.ByService = maps.Clone(old.Records), maps.Clone(old.ByService)
	if old.Records == nil {
		next.Records, next.ByService = map[endpoint.InstanceID]endpoint.Record{}, map[string][]endpoint.Record{}
	}
	added := map[string][]endpoint.Record{}
	for id := range s.changed {
		if was, ok := old.Records[id]; ok && added[was.Service] == nil {
			added[was.Service] = []endpoint.Record{}
		}
		m := s.members[id]
		if m == nil || m.status == Dead {
			delete(next.Records, id)
			continue
		}
		next.Records[id] = m.record
		added[m.record.Service] = append(added[m.record.Service], m.record)
	}
	for service, records := range added {
		if service != "" {
			s.updateService(next.ByService, service, records)
		}
	}
}

// updateOwn replaces the member list of the local failure domain if a member joined or died.
func (s *State) updateOwn(old, next *endpoint.View) {
	own := s.local.record.Domain
	isOwn := func(v *endpoint.View, id endpoint.InstanceID) bool {
		r, ok := v.Records[id]
		return ok && r.Domain == own
	}
	same := old.Own != nil
	for id := range s.changed {
		same = same && isOwn(old, id) == isOwn(next, id)
	}
	if same {
		return
	}
	d := s.domainOf(own)
	list := append(make([]endpoint.InstanceID, 0, len(d.order)+1), s.self)
	for _, m := range d.order {
		list = append(list, m.record.Instance)
	}
	slices.Sort(list)
	next.Own = &endpoint.Members{Instances: list}
}

// updateService replaces the list of one service: changed records are removed from the old list and
// their current versions are added.
func (s *State) updateService(byService map[string][]endpoint.Record, service string, added []endpoint.Record) {
	list := make([]endpoint.Record, 0, len(byService[service])+len(added))
	for _, r := range byService[service] {
		if _, changed := s.changed[r.Instance]; !changed {
			list = append(list, r)
		}
	}
	list = append(list, added...)
	if len(list) == 0 {
		delete(byService, service)
		return
	}
	slices.SortFunc(list, func(a, b endpoint.Record) int {
		return strings.Compare(string(a.Instance), string(b.Instance))
	})
	byService[service] = list
}
