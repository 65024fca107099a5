package store

import (
	"fmt"
	"maps"
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
	standin "kingcupwood.example/kingcupwood/standin/platform"
)

// model is the reference model of the platform: it has no faults and keeps the slots of each
// service.
type model struct {
	version   snapshot.Version
	inForce   map[string]int
	revisions map[string][]int // slots by revision-1; 0 is a removal
}

func (m *model) apply(service string, slots int) {
	m.version++
	m.revisions[service] = append(m.revisions[service], slots)
	m.inForce[service] = slots
	if slots == 0 {
		delete(m.inForce, service)
	}
}

// allows reports whether a change to slots made on version seen must succeed.
func (m *model) allows(service string, slots int, seen snapshot.Version) bool {
	return seen == m.version && m.inForce[service] != slots
}

// historyFaults are faults in spite of which one operation must succeed, because it makes
// DefaultAttempts attempts.
var historyFaults = []standin.Fault{
	{Store: standin.Table, Kind: standin.LoseResponse, Operations: standin.OnlyWrites, Count: 1},
	{Store: standin.Table, Kind: standin.LoseResponse, Operations: standin.OnlyWrites, Count: 2},
	{Store: standin.Table, Kind: standin.Outage, Operations: standin.OnlyWrites, Count: 2},
	{Store: standin.Table, Kind: standin.Outage, Operations: standin.OnlyReads, Count: 2},
	{Store: standin.Objects, Kind: standin.LoseResponse, Count: 2},
	{Store: standin.Objects, Kind: standin.Outage, Count: 2},
}

// maxHistorySteps limits the run of the 100 histories to a few seconds.
const maxHistorySteps = 8

type history struct {
	*harness
	model
	steps int
}

func (h *history) seen(t *rapid.T) snapshot.Version {
	if h.version > 0 && rapid.Bool().Draw(t, "stale") {
		return h.version - 1
	}
	return h.version
}

func (h *history) maybeFault(t *rapid.T) {
	if n := rapid.IntRange(-1, len(historyFaults)-1).Draw(t, "fault"); n >= 0 {
		if err := h.platform.Inject(historyFaults[n]); err != nil {
			t.Fatal(err)
		}
	}
}

// verify compares an outcome with the model and repeats the request with the same token, which must
// have no further effect.
func (h *history) verify(t *rapid.T, service string, slots int, seen snapshot.Version, call func(token string) (Outcome, error)) {
	h.steps++
	token := fmt.Sprintf("token-%d", h.steps)
	h.maybeFault(t)
	outcome, err := call(token)
	h.platform.ClearFaults()
	if !h.allows(service, slots, seen) {
		var conflict *ConflictError
		var noChange *NoChangeError
		if outcome.State != StateNotAccepted || !errors.As(err, &conflict) && !errors.As(err, &noChange) {
			t.Fatalf("expected a refusal, got %+v, %v", outcome, err)
		}
		return
	}
	if err != nil || outcome.State != StateAccepted || outcome.Change.Version != h.version+1 {
		t.Fatalf("expected version %d, got %+v, %v", h.version+1, outcome, err)
	}
	h.apply(service, slots)
	if again, err := call(token); err != nil || again.Change != outcome.Change {
		t.Fatalf("repeated request: expected %+v, got %+v, %v", outcome, again, err)
	}
}

func (h *history) acceptStep(t *rapid.T) {
	service := rapid.SampledFrom([]string{"pages", "finder"}).Draw(t, "service")
	slots, seen := rapid.IntRange(1, 3).Draw(t, "slots"), h.seen(t)
	h.maybeFault(t)
	draft, err := h.client.Submit(h.ctx, admin, service, answersFor(service, slots))
	h.platform.ClearFaults()
	if err != nil {
		t.Fatal(err)
	}
	h.verify(t, service, slots, seen, func(token string) (Outcome, error) {
		return h.client.Accept(h.ctx, admin, service, draft.Hash, seen, token)
	})
}

func (h *history) withdrawStep(t *rapid.T) {
	service := rapid.SampledFrom([]string{"pages", "finder"}).Draw(t, "service")
	to, seen, slots := rapid.IntRange(0, len(h.revisions[service])).Draw(t, "to"), h.seen(t), 0
	if to > 0 {
		slots = h.revisions[service][to-1]
	}
	h.verify(t, service, slots, seen, func(token string) (Outcome, error) {
		return h.client.Withdraw(h.ctx, admin, service, uint64(to), seen, token)
	})
}

// check compares the configuration in force with the model.
func (h *history) check(t *rapid.T) {
	b, err := h.client.loadBase(h.ctx)
	if err != nil || b.head.Version != h.version {
		t.Fatalf("expected version %d, got %+v, %v", h.version, b.head, err)
	}
	found := map[string]int{}
	for service := range h.revisions {
		s, err := h.client.inForce(h.ctx, b, service)
		if err != nil {
			t.Fatal(err)
		}
		if s != nil {
			found[service] = s.Slots
		}
	}
	if !maps.Equal(found, h.inForce) {
		t.Fatalf("expected %v in force, got %v", h.inForce, found)
	}
}

// Guards against a history of accepts, withdraws, stale versions, lost responses and short outages
// whose result differs from that of a platform without faults.
func TestHistoryMatchesModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := &history{harness: newHarness(t), model: model{inForce: map[string]int{}, revisions: map[string][]int{}}}
		for range rapid.IntRange(1, maxHistorySteps).Draw(rt, "steps") {
			if rapid.IntRange(0, 2).Draw(rt, "step") == 0 {
				h.withdrawStep(rt)
			} else {
				h.acceptStep(rt)
			}
			h.check(rt)
		}
	})
}
