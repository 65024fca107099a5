package agent

import (
	"strings"
	"time"

	"kingcupwood.example/kingcupwood/pkg/admission"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// admissionConfig returns the configuration of admission control for one of ready servers of service,
// which announced a number of slots. It covers what admission control cannot see in the service
// alone: the calls between services.
func admissionConfig(s *snapshot.Snapshot, service *snapshot.Service, slots, ready int) admission.Config {
	cfg := admission.ForService(service, slots, ready)
	for i := range cfg.Kinds {
		cfg.Kinds[i].ServiceTime = slotTime(s, &service.Kinds[i], snapshot.MaxChain)
	}
	return cfg.WithServiceCallRates(calledRates(s, service.Name, ready))
}

// slotTime returns how long a request of k holds its slot. The declared service time includes the calls
// to other services, but teams tend to leave them out, so it is at least the time of the calls. With
// less, a request would be started when too little time is left for it, and the limit of slots would
// be lowered because requests take longer than declared. chain bounds the number of services.
func slotTime(s *snapshot.Snapshot, k *snapshot.Kind, chain int) time.Duration {
	var calls time.Duration
	for _, name := range k.Calls {
		service, kind, _ := strings.Cut(name, "/")
		if callee := s.Services[service]; callee != nil && chain > 1 {
			if inner := callee.Kind(kind); inner != nil {
				calls += slotTime(s, inner, chain-1)
			}
		}
	}
	return max(k.ServiceTime, calls)
}

// calledRates returns by kind of service the declared rate of all kinds of other services that call
// it, divided by the number of ready servers. It is in requests per second.
func calledRates(s *snapshot.Snapshot, service string, ready int) map[string]float64 {
	rates := map[string]float64{}
	prefix := service + "/"
	for _, other := range s.Services {
		for i := range other.Kinds {
			for _, name := range other.Kinds[i].Calls {
				if kind, ok := strings.CutPrefix(name, prefix); ok {
					rates[kind] += other.Kinds[i].ExpectedRate / float64(ready)
				}
			}
		}
	}
	return rates
}
