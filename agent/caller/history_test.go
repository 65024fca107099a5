package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"

	"pgregory.net/rapid"

	"kingcupwood.example/kingcupwood/agent/peer/call"
	"kingcupwood.example/kingcupwood/pkg/fence"
	"kingcupwood.example/kingcupwood/pkg/retry"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

// fault says what happens to one attempt.
type fault int

const (
	noFault fault = iota
	requestLost
	requestLate // arrives after its sender has given up, and after the fence if there is one
	responseLost
	responseLate // the run goes on after its sender has given up
	duplicated
	waitsUntilFenced // is in the queue when its sender gives up
	killedBeforeRun
	killedDuringRun
	killedAfterRun
	notConnected
	refusedBusy
	refusedDraining
	shedByServer
	brokenBehind
	truncatedBehind
	faults
)

// step is the fate of one attempt and of the fence that may follow.
type step struct {
	fault     fault
	fenceLost bool
}

func genHistory() *rapid.Generator[[]step] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{fault(rapid.IntRange(0, int(faults)-1).Draw(t, "fault")), rapid.IntRange(0, 3).Draw(t, "fence") == 0}
	}), defaultMaxAttempts, defaultMaxAttempts)
}

// world plays a history against the attempt tables of the receiving daemons.
type world struct {
	history []step
	sent    int
	steps   map[fence.AttemptID]step
	tables  map[string]*fence.Table
	killed  map[string]bool
	runs    int
	// late holds what happens after the sender has gone on.
	late []func()
}

func newWorld(history []step) *world {
	return &world{history: history, steps: map[fence.AttemptID]step{}, tables: map[string]*fence.Table{}, killed: map[string]bool{}}
}

func (w *world) table(addr string) *fence.Table {
	if w.tables[addr] == nil {
		w.tables[addr] = fence.NewTable(4)
	}
	return w.tables[addr]
}

// deliver lets an attempt arrive and run, as a receiving daemon does.
func (w *world) deliver(addr string, r *call.Request) *call.Response {
	t := w.table(addr)
	if w.killed[addr] {
		return nil
	}
	if !t.Arrive(r.Attempt, nil) {
		v := verdict.MayHaveRun
		if t.Lookup(r.Attempt) == fence.NeverWillRun {
			v = verdict.NotRun
		}
		return call.ErrorResponse(r.Attempt, verdict.Wrap(v, io.EOF))
	}
	if t.Start(r.Attempt) {
		w.runs++
	}
	t.Finish(r.Attempt)
	return ran(r)
}

func lost() (*call.Response, error) { return nil, verdict.Wrap(verdict.MayHaveRun, io.EOF) }

// do is the Remote of the sender.
func (w *world) do(_ context.Context, addr string, req *call.Request) (*call.Response, error) {
	r := *req
	s := step{}
	if w.sent < len(w.history) {
		s = w.history[w.sent]
	}
	w.sent++
	w.steps[r.Attempt] = s
	t := w.table(addr)
	switch s.fault {
	case requestLost:
		return lost()
	case requestLate:
		w.late = append(w.late, func() { w.deliver(addr, &r) })
		return lost()
	case responseLost:
		w.deliver(addr, &r)
		return lost()
	case responseLate:
		t.Arrive(r.Attempt, nil)
		if t.Start(r.Attempt) {
			w.runs++
		}
		w.late = append(w.late, func() { t.Finish(r.Attempt) })
		return lost()
	case duplicated:
		resp := w.deliver(addr, &r)
		w.late = append(w.late, func() { w.deliver(addr, &r) })
		return resp, nil
	case waitsUntilFenced:
		t.Arrive(r.Attempt, func() {})
		w.late = append(w.late, func() {
			if t.Start(r.Attempt) {
				w.runs++
			}
			t.Finish(r.Attempt)
		})
		return lost()
	case killedBeforeRun:
		w.killed[addr] = true
		return lost()
	case killedDuringRun, killedAfterRun:
		w.deliver(addr, &r)
		w.killed[addr] = true
		return lost()
	case notConnected:
		return nil, verdict.Wrap(verdict.NotRun, io.EOF)
	}
	return w.respond(s, t, addr, &r), nil
}

// respond covers the faults that the receiving daemon reports.
func (w *world) respond(s step, t *fence.Table, addr string, r *call.Request) *call.Response {
	switch s.fault {
	case refusedBusy, refusedDraining:
		t.Arrive(r.Attempt, nil)
		t.Finish(r.Attempt)
		return refused(r, s.fault == refusedDraining)
	case shedByServer:
		t.Arrive(r.Attempt, nil)
		t.Start(r.Attempt)
		t.Finish(r.Attempt)
		return refused(r, false)
	case brokenBehind:
		w.deliver(addr, r)
		return call.ErrorResponse(r.Attempt, verdict.Wrap(verdict.MayHaveRun, io.EOF))
	case truncatedBehind:
		w.deliver(addr, r)
		return call.ErrorResponse(r.Attempt, verdict.Wrap(verdict.Ran, io.ErrUnexpectedEOF))
	}
	return w.deliver(addr, r)
}

func (w *world) fence(_ context.Context, addr string, id fence.AttemptID) fence.Answer {
	if w.killed[addr] || w.steps[id].fenceLost {
		if !w.killed[addr] && w.steps[id].fault != requestLost {
			w.table(addr).Fence(id) // the answer is lost, the effect is not
		}
		return fence.Unknown
	}
	return w.table(addr).Fence(id)
}

// settle plays what was still on its way.
func (w *world) settle() {
	for _, f := range w.late {
		f()
	}
}

// play sends one save through a handler that faces history.
func play(history []step) (*world, int, verdict.Verdict, []byte) {
	w := newWorld(history)
	b := newBench("a", "b", "c", "d", "e")
	b.config.Budgets = retry.NewBudgets(1, 100, b.now)
	b.remote.do, b.remote.fenceDo = w.do, w.fence
	out := b.serveHTTP(request("POST", "/pages/1", "text"))
	w.settle()
	v, err := verdict.Parse(verdictOf(out))
	if err != nil {
		panic(err)
	}
	return w, out.Code, v, out.Body.Bytes()
}

// naive is a retry loop as it is often written: it sends again after every failure.
func naive(history []step) *world {
	w := newWorld(history)
	for seq := range uint64(defaultMaxAttempts) {
		r := &call.Request{Attempt: fence.AttemptID{Sender: 7, Seq: seq + 1}, Method: "POST", Target: "/pages/1"}
		resp, err := w.do(context.Background(), string(rune('a'+seq)), r)
		if err == nil && resp != nil && resp.Verdict == verdict.Ran && resp.Reason == "" {
			break
		}
	}
	w.settle()
	return w
}

// Guards against any history of faults after which a save has run twice, a caller is told "not run"
// for a save that ran, or "ran" for one that did not, or gets a body that is not its own.
func TestFaultHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := genHistory().Draw(t, "history")
		w, status, v, body := play(history)
		if w.runs > 1 {
			t.Fatalf("the save ran %d times", w.runs)
		}
		if v == verdict.NotRun && w.runs != 0 || v == verdict.Ran && w.runs != 1 {
			t.Fatalf("verdict %s for a save that ran %d times", v, w.runs)
		}
		if (status == http.StatusServiceUnavailable) != (v == verdict.NotRun) {
			t.Fatalf("status %d with verdict %s", status, v)
		}
		if status == http.StatusOK && !bytes.Equal(body, []byte("POST /pages/1 text")) {
			t.Fatalf("body %q", body)
		}
	})
}

// Guards against histories too tame to show anything: the naive loop must fail on many of them, and
// the handler must not lose requests that a single proven refusal allows to send again.
func TestNaiveRetryLoopRunsTwice(t *testing.T) {
	const histories = 500
	repeated, naiveServed, served := 0, 0, 0
	for seed := range histories {
		history := genHistory().Example(seed)
		n := naive(history)
		if n.runs > 1 {
			repeated++
		} else if n.runs == 1 {
			naiveServed++
		}
		w, status, _, _ := play(history)
		if w.runs > 1 {
			t.Fatalf("history %v ran %d times", history, w.runs)
		}
		if status == http.StatusOK {
			served++
		}
	}
	t.Logf("of %d histories: naive loop ran %d saves twice or more and %d once; the handler served %d", histories, repeated, naiveServed, served)
	if repeated < histories/10 {
		t.Fatalf("the naive loop ran only %d of %d saves more than once", repeated, histories)
	}
	if served < histories/10 {
		t.Fatalf("the handler served only %d of %d saves", served, histories)
	}
}
