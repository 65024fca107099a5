package agent

import (
	"strings"
	"time"

	"kingcupwood.example/kingcupwood/pkg/admission"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// admissionConfig returns the configuration of admission control for a server of service. slots is
// the number of slots that the server announced, ready the number of ready servers. It takes the
// calls between services into account, which are not part of the service alone.
func admissionConfig(s *snapshot.Snapshot, service *snapshot.Service, slots, ready int) admission.Config {
	cfg := admission.ForService(service, slots, ready)
	for i := range cfg.Kinds {
		cfg.Kinds[i].ServiceTime = slotTime(s, &service.Kinds[i], snapshot.MaxChain)
	}
	return cfg.WithServiceCallRates(calledRates(s, service.Name, ready))
}

// slotTime returns the time for which a request of k occupies its slot: the declared service time,
// but at least the time of its calls to other services. The declared time should include these
// calls, but teams tend to leave them out. With a shorter time, a request would be started when too
// little time is left for it, and the slot limit would be lowered because requests take longer than
// declared. chain limits the number of services in a call chain.
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

// calledRates returns, for each kind of service, the total declared rate of the kinds of other
// services that call it, divided by the number of ready servers, in requests per second.
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
