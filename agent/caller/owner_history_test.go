package caller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"kingcupwood.example/kingcupwood/agent/peer/call"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/idempotency"
)

// connectQueries connects the daemons of c for key queries. An entry in answer replaces the answer
// of that daemon.
func (c *trio) connectQueries(answer map[string]QueryKey) {
	for _, b := range c.daemons {
		b.ask = func(ctx context.Context, addr string, q KeyQuery) (KeyAnswer, error) {
			name := strings.TrimSuffix(addr, "-rpc")
			if replaced := answer[name]; replaced != nil {
				return replaced(ctx, addr, q)
			}
			return c.daemons[name].AnswerKey(ctx, q)
		}
	}
}

// setViews changes the view of the named daemons.
func (c *trio) setViews(view *endpoint.View, names ...string) {
	for _, name := range names {
		c.daemons[name].setView(view)
		c.daemons[name].RecordOwners(view)
	}
}

// keyOf returns a key owned by the instance owner according to view.
func keyOf(view *endpoint.View, owner string) string {
	for n := 0; ; n++ {
		key := fmt.Sprint("key-", n)
		if r, _ := Owner(view, "pages", key, time.Now()); string(r.Instance) == owner {
			return key
		}
	}
}

func withState(r endpoint.Record, state endpoint.State) endpoint.Record {
	r.State = state
	return r
}

func unreachable(context.Context, string, KeyQuery) (KeyAnswer, error) { return KeyAnswer{}, io.EOF }

func frozen(ctx context.Context, _ string, _ KeyQuery) (KeyAnswer, error) {
	<-ctx.Done()
	return KeyAnswer{}, ctx.Err()
}

func restarted(context.Context, string, KeyQuery) (KeyAnswer, error) {
	return KeyAnswer{State: idempotency.Free, StartedMS: uint64(time.Now().UnixMilli())}, nil
}

func (c *trio) expectOnce(is *is.I, w *httptest.ResponseRecorder) {
	is.Helper()
	is.Equal(w.Code, http.StatusOK)
	is.Equal(c.runs.Load(), int32(1))
}

// Guards against running a save again when its key has a new owner and the previous owner is alive:
// the outcome has not been moved, or the first submission is still running.
func TestNewOwnerQueriesPreviousOwner(t *testing.T) {
	for _, running := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := newTrio()
			c.connectQueries(nil)
			c.server = func(r *call.Request) *call.Response {
				time.Sleep(300 * time.Millisecond)
				return ran(r)
			}
			all, rest := testView("a", "b", "c"), testView("a", "b")
			c.setViews(all, "a", "b", "c")
			key := keyOf(all, "c")
			var group sync.WaitGroup
			group.Go(func() {
				if w := c.save("a", key, "text"); w.Code != http.StatusOK {
					t.Error(w.Code, w.Body)
				}
			})
			if running {
				time.Sleep(100 * time.Millisecond)
			} else {
				group.Wait()
			}
			c.setViews(rest, "a", "b") // the backend server of c is gone, its daemon still runs
			for _, by := range []string{"a", "b"} {
				c.expectOnce(is, c.save(by, key, "text"))
			}
			group.Wait()

			c.setViews(all, "a", "b", "c")
			c.expectOnce(is, c.save("b", key, "text"))
			is.Equal(c.save("b", key, "other").Code, http.StatusUnprocessableEntity)
			is.Equal(c.runs.Load(), int32(1))
		})
	}
}

// Guards against running a save again at a server that became ready and owns keys before their
// outcomes have been moved to it.
func TestJoinedServerQueriesPreviousOwner(t *testing.T) {
	is := is.New(t)
	c := newTrio()
	c.connectQueries(nil)
	joined := testView("a", "b", "c")
	c.setViews(testView("a", "b"), "a", "b", "c")
	key := keyOf(joined, "c")
	c.save("a", key, "text")
	joined.ByService["pages"][2].ReadySinceMS = time.Now().Add(-joinGrace).UnixMilli()
	c.setViews(joined, "a", "b", "c")
	c.expectOnce(is, c.save("b", key, "text"))
}

// Guards against running a save again that its previous owner may have run, against a not-run
// verdict for that refusal, and against refusals after ownerChangeWindow.
func TestPreviousOwnerDoesNotAnswer(t *testing.T) {
	for _, answer := range []QueryKey{unreachable, frozen, restarted} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := newTrio()
			c.connectQueries(map[string]QueryKey{"c": answer})
			all, rest := testView("a", "b", "c"), testView("a", "b")
			all.ByService["pages"][2].Incarnation = 1
			c.setViews(all, "a", "b")
			key := keyOf(all, "c")
			c.save("a", key, "text")
			c.setViews(rest, "a", "b")
			began := time.Now()
			for _, by := range []string{"a", "b"} {
				w := c.save(by, key, "text")
				is.Equal(w.Code, http.StatusGatewayTimeout)
				is.Equal(verdictOf(w), "may-have-run")
				is.Equal(w.Header().Get("Retry-After"), "1")
			}
			is.Equal(c.runs.Load(), int32(1))
			is.True(time.Since(began) <= 2*queryTimeout)
			time.Sleep(ownerChangeWindow)
			is.Equal(c.save("a", key, "text").Code, http.StatusOK)
		})
	}
}

// Guards against running a save again at its first owner, which was frozen while the next one ran
// it and does not have that change in its view.
func TestResumedOwnerQueriesNextOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newTrio()
		answer := map[string]QueryKey{"c": frozen}
		c.connectQueries(answer)
		all, rest := testView("a", "b", "c"), testView("a", "b")
		key := keyOf(all, "c")
		c.setViews(all, "a", "b", "c")
		c.setViews(rest, "a", "b")
		time.Sleep(ownerChangeWindow)
		c.expectOnce(is, c.save("a", key, "text"))
		delete(answer, "c")
		c.expectOnce(is, c.save("c", key, "text"))
	})
}

// Guards against refusals after a planned stop: the daemon has handed over its keys and ended.
func TestPreviousOwnerHasStopped(t *testing.T) {
	is := is.New(t)
	c := newTrio()
	c.connectQueries(map[string]QueryKey{"c": unreachable})
	all := testView("a", "b", "c")
	key := keyOf(all, "c")
	c.setViews(all, "a", "b")
	draining := testView("a", "b", "c")
	draining.ByService["pages"][2].State = endpoint.Draining
	c.setViews(draining, "a", "b")
	c.setViews(testView("a", "b"), "a", "b")
	c.expectOnce(is, c.save("a", key, "text"))
}

// Guards against queries while the owners do not change, which would cost every save a round trip.
func TestNoQueriesWithoutOwnerChange(t *testing.T) {
	is := is.New(t)
	c := newTrio()
	c.connectQueries(nil)
	for n := range 30 {
		is.Equal(c.save("a", fmt.Sprint("key-", n), "text").Code, http.StatusOK)
	}
	for _, b := range c.daemons {
		is.Equal(b.metrics.keyQueries.Value(), int64(0))
	}
}

// Guards against running a save twice, or not at all, when it is submitted at the same time to two
// daemons that each consider themselves its owner.
func TestTwoOwnersAtOnce(t *testing.T) {
	returned := testView("a", "b", "c") // the backend server of a was gone
	returned.Records["a"] = withState(returned.Records["a"], endpoint.Gone)
	returned.ByService["pages"][0].State = endpoint.Gone
	for name, before := range map[string]*endpoint.View{"does not know b yet": testView("a", "c"), "has returned": returned} {
		c := newTrio()
		c.connectQueries(nil)
		c.server = func(r *call.Request) *call.Response {
			time.Sleep(time.Millisecond)
			return ran(r)
		}
		ofA, ofB := testView("a", "c"), testView("b", "c")
		c.setViews(before, "a")
		if before != returned {
			ofB.ByService["pages"][0].ReadySinceMS = time.Now().Add(-joinGrace).UnixMilli()
		}
		withA := testView("a", "b", "c")
		withA.ByService["pages"][1] = ofB.ByService["pages"][0]
		c.setViews(withA, "b")
		c.setViews(ofA, "a")
		c.setViews(ofB, "b")
		saves := int32(0)
		for n := range 60 {
			key := fmt.Sprint("key-", n)
			first, _ := Owner(ofA, "pages", key, time.Now())
			second, _ := Owner(ofB, "pages", key, time.Now())
			if first.Instance != "a" || second.Instance != "b" {
				continue
			}
			saves++
			var group sync.WaitGroup
			for _, by := range []string{"a", "b"} {
				group.Go(func() {
					if w := c.save(by, key, "text"); w.Code != http.StatusOK {
						t.Errorf("%s at %s: %d %s", key, by, w.Code, w.Body)
					}
				})
			}
			group.Wait()
		}
		if saves == 0 || c.runs.Load() != saves {
			t.Errorf("a %s: %d saves, %d runs", name, saves, c.runs.Load())
		}
	}
}
