package platform

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
	standin "kingcupwood.example/kingcupwood/standin/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// answersFor is an answer file in the format of testGenerator.
func answersFor(name string, slots int, dependsOn ...string) []byte {
	data, _ := json.Marshal(snapshot.Service{Name: name, Slots: slots, DependsOn: dependsOn})
	return data
}

// testGenerator reads answers in JSON. Its rules: slots are positive and dependencies exist.
func testGenerator() Generator {
	return Generator{
		Parse: func(file string, data []byte) (Answers, error) {
			s := &snapshot.Service{}
			if err := json.Unmarshal(data, s); err != nil || s.Name == "" {
				return nil, errors.Errorf("%s: not answers", file)
			}
			if s.Slots <= 0 {
				return nil, errors.Errorf("%s: slots must be positive", file)
			}
			return s, nil
		},
		Check: func(all []Answers) error {
			names := map[string]bool{}
			for _, a := range all {
				names[a.(*snapshot.Service).Name] = true
			}
			for _, a := range all {
				for _, d := range a.(*snapshot.Service).DependsOn {
					if !names[d] {
						return errors.Errorf("%s depends on unknown service %s", a.(*snapshot.Service).Name, d)
					}
				}
			}
			return nil
		},
		Generate: func(a Answers) *snapshot.Service { return a.(*snapshot.Service) },
		Encode: func(s *snapshot.Service) ([]byte, snapshot.Hash, error) {
			data, err := cbor.Marshal(s)
			return data, hashOf(data), err
		},
		Decode: func(data []byte, _ snapshot.Hash) (*snapshot.Service, error) {
			s := &snapshot.Service{}
			return s, cbor.Unmarshal(data, s)
		},
		EncodeManifest: func(m *snapshot.Manifest) ([]byte, snapshot.Hash, error) {
			data, err := cbor.Marshal(m)
			return data, hashOf(data), err
		},
		DecodeManifest: func(data []byte, _ snapshot.Hash) (*snapshot.Manifest, error) {
			m := &snapshot.Manifest{}
			return m, cbor.Unmarshal(data, m)
		},
		Build: func(m *snapshot.Manifest, objects map[snapshot.Hash][]byte) (*snapshot.Snapshot, error) {
			for _, e := range m.Entries {
				if hashOf(objects[e.Hash]) != e.Hash {
					return nil, errors.Errorf("%s: the object is missing", e.Service)
				}
			}
			return &snapshot.Snapshot{Version: m.Version}, nil
		},
		Diff: func(_, _ *snapshot.Service) []string { return []string{"changed"} },
	}
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

// testTimeout bounds one attempt. Only injected faults make an attempt wait, so that a busy machine
// does not decide a test.
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
		Operators: []standin.Operator{{Name: "ana", TokenSHA256: FormatHash(hashOf([]byte("secret-ana"))), Services: []string{"pages"}}},
	}, event.Nop())
	server := httptest.NewServer(h.platform)
	config := Config{
		TableURL: server.URL, ObjectsURL: server.URL, Table: "t", Bucket: "bucket", AccessKey: "k", SecretKey: "s",
		Timeout: testTimeout, Generator: testGenerator(), Now: h.clock.Now, Rand: func(int64) int64 { return 0 },
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

// accept submits and accepts a configuration on version seen.
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
