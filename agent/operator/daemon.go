package operator

import (
	"cmp"
	"maps"
	"net/http"
	"slices"

	"kingcupwood.example/kingcupwood/agent/store"
)

// status returns the state of the daemon and of the platform. If the platform is unavailable, the
// response contains the state of the daemon and the error.
func (s *server) status(w http.ResponseWriter, r *http.Request) {
	message := StatusMessage{Daemon: s.daemonStatus()}
	status, err := s.config.Platform.Status(r.Context())
	if err != nil {
		message.Platform.Error = apiError(err).Message
	} else {
		message.Platform = platformStatus(status)
	}
	writeJSON(w, http.StatusOK, message)
}

// daemon returns the state of this daemon only, without reading from the platform.
func (s *server) daemon(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.daemonStatus())
}

func (s *server) daemonStatus() DaemonStatus {
	var status DaemonStatus
	if current := s.config.Daemon.Snapshot(); current != nil {
		status.Version = current.Version
		status.ManifestHash = current.ManifestHash.String()
		status.Services = len(current.Services)
	}
	if refused, ok := s.config.Daemon.LastRefused(); ok {
		status.Refused = &refused
	}
	return status
}

func platformStatus(status store.Status) PlatformStatus {
	message := PlatformStatus{Version: status.Head.Version}
	if status.Head.Version > 0 {
		message.Manifest = status.Head.Manifest.String()
	}
	for _, d := range status.Drafts {
		message.Drafts = append(message.Drafts, draftMessage(d))
	}
	for _, l := range status.Leases {
		message.Leases = append(message.Leases,
			LeaseMessage{Name: l.Name, Holder: l.Holder, Token: l.Token, Expires: l.Expires.UTC()})
	}
	return message
}

// endpoints lists the endpoints known to this daemon, sorted by instance.
func (s *server) endpoints(w http.ResponseWriter, _ *http.Request) {
	message := EndpointsMessage{Endpoints: []EndpointMessage{}, Unreachable: []string{}}
	if view := s.config.Daemon.Endpoints(); view != nil {
		for _, r := range view.Records {
			message.Endpoints = append(message.Endpoints, EndpointMessage{
				Instance: string(r.Instance), Domain: r.Domain, Service: r.Service,
				State: r.State.String(), Slots: r.Slots, CallAddr: r.CallAddr, AdminAddr: r.AdminAddr,
			})
		}
		message.Unreachable = slices.AppendSeq(message.Unreachable, maps.Keys(view.Unreachable))
		slices.Sort(message.Unreachable)
	}
	slices.SortFunc(message.Endpoints, func(a, b EndpointMessage) int { return cmp.Compare(a.Instance, b.Instance) })
	writeJSON(w, http.StatusOK, message)
}
