package store

import (
	"context"
	_ "embed"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
	standin "kingcupwood.example/kingcupwood/standin/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

//go:embed testdata/service.ini
var serviceAnswers string

// answersFor returns the answer file of a service.
func answersFor(name string, slots int, dependsOn ...string) []byte {
	return fmt.Appendf(nil, serviceAnswers, name, slots, 4, strings.Join(dependsOn, ", "))
}

// clock is a settable clock.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// testTimeout limits one attempt. It is long, so that only an injected fault can exceed it and the
// result of a test does not depend on the load of the machine.
const testTimeout = 10 * time.Second

type harness struct {
	platform *standin.Server
	client   *Client
	clock    *clock
	ctx      context.Context
}

func newHarness(t testing.TB, change ...func(*Config)) *harness {
	h := &harness{clock: &clock{now: time.UnixMilli(1_800_000_000_000)}, ctx: t.Context()}
	h.platform = standin.NewServer(standin.Config{
		Table: "t", Bucket: "bucket",
		Operators: []standin.Operator{{Name: "ana", TokenSHA256: snapshot.HashOf([]byte("secret-ana")).String(), Services: []string{"pages"}}},
	}, event.Nop())
	server := httptest.NewServer(h.platform)
	config := Config{
		TableURL: server.URL, ObjectsURL: server.URL, Table: "t", Bucket: "bucket", AccessKey: "k", SecretKey: "s",
		Timeout: testTimeout, Now: h.clock.Now, Rand: func(int64) int64 { return 0 },
	}
	for _, c := range change {
		c(&config)
	}
	client, err := NewClient(config, event.Nop())
	if err != nil {
		t.Fatal(err)
	}
	h.client = client
	t.Cleanup(func() {
		h.platform.ClearFaults()
		client.Close()
		server.Close()
	})
	return h
}

var admin = Operator{Name: "root", Services: []string{AllServices}}

// submit stores a draft and returns its hash.
func (h *harness) submit(t testing.TB, name string, slots int, dependsOn ...string) snapshot.Hash {
	t.Helper()
	draft, err := h.client.Submit(h.ctx, admin, name+".ini", answersFor(name, slots, dependsOn...))
	if err != nil {
		t.Fatal(err)
	}
	return draft.Hash
}

// accept submits a configuration and accepts it on version seen.
func (h *harness) accept(t testing.TB, name string, slots int, seen snapshot.Version, token string) Outcome {
	t.Helper()
	outcome, err := h.client.Accept(h.ctx, admin, name, h.submit(t, name, slots), seen, token)
	if err != nil {
		t.Fatal(err)
	}
	return outcome
}

func (h *harness) inject(t testing.TB, f standin.Fault) {
	t.Helper()
	if err := h.platform.Inject(f); err != nil {
		t.Fatal(err)
	}
}
