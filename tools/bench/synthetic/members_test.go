package synthetic

import (
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/membership"
)

func startMembers(t *testing.T) *Members {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	m, err := Start(ctx, Config{Members: 4, Domains: []string{"far"}, Services: []string{"a"}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		goleak.VerifyNone(t)
	})
	return m
}

// Guards against a packet layout that is no longer the one of pkg/membership: every probe would then
// fail and the benchmark would measure a cluster of unreachable domains.
func TestMembersAnswerProbes(t *testing.T) {
	is := is.New(t)
	m := startMembers(t)
	start := time.Now()
	now := start
	local := endpoint.Record{Instance: "real", Incarnation: 1, Domain: "near", ProbeAddr: "127.0.0.1:1", State: endpoint.Ready}
	s := membership.New(membership.Config{Local: local}, now, 1)
	s.Merge(now, m.entries())
	m.now = func() time.Time { return start }
	m.changeOne()
	probes := 0
	for range 200 {
		now = now.Add(membership.TickInterval)
		for _, sent := range s.Tick(now) {
			var p packet
			is.NoErr(cbor.Unmarshal(sent.Data, &p))
			is.Equal(p.From, local.Instance)
			for _, reply := range m.replies(&p) {
				probes++
				data, err := cbor.Marshal(reply)
				is.NoErr(err)
				s.Receive(now, sent.To, data)
			}
		}
	}
	is.True(probes > 0)
	is.Equal(s.Health(), 0) // no probe failed
	is.Equal(len(s.View().Unreachable), 0)
	drained := 0
	for _, r := range s.View().Records {
		if r.State == endpoint.Draining {
			drained++
		}
	}
	is.Equal(drained, 1) // the change came with an answer
}
