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

// fault is what happens to one attempt.
type fault int

const (
	noFault fault = iota
	requestLost
	requestLate // arrives after its sender has timed out, and after the fence if there is one
	responseLost
	responseLate // the run continues after its sender has timed out
	duplicated
	waitsUntilFenced // is queued when its sender times out
	killedBeforeRun
	killedDuringRun
	killedAfterRun
	notConnected
	refusedBusy
	refusedDraining
	shedByServer
	backendBroken
	backendTruncated
	faults
)

// step is the fault of one attempt and whether the answer of a following fence is lost.
type step struct {
	fault     fault
	fenceLost bool
}

func historyGenerator() *rapid.Generator[[]step] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{fault(rapid.IntRange(0, int(faults)-1).Draw(t, "fault")), rapid.IntRange(0, 3).Draw(t, "fence") == 0}
	}), defaultMaxAttempts, defaultMaxAttempts)
}

// simulation runs a history against the attempt tables of the receiving daemons.
type simulation struct {
	history []step
	sent    int
	steps   map[fence.AttemptID]step
	tables  map[string]*fence.Table
	killed  map[string]bool
	runs    int
	// late holds the events that happen after the sender has continued.
	late []func()
}

func newSimulation(history []step) *simulation {
	return &simulation{history: history, steps: map[fence.AttemptID]step{}, tables: map[string]*fence.Table{}, killed: map[string]bool{}}
}

func (w *simulation) table(addr string) *fence.Table {
	if w.tables[addr] == nil {
		w.tables[addr] = fence.NewTable(4)
	}
	return w.tables[addr]
}

// deliver processes the arrival and the run of an attempt as a receiving daemon does.
func (w *simulation) deliver(addr string, r *call.Request) *call.Response {
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

// do implements Remote for the sender.
func (w *simulation) do(_ context.Context, addr string, req *call.Request) (*call.Response, error) {
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

// respond handles the faults that the receiving daemon reports.
func (w *simulation) respond(s step, t *fence.Table, addr string, r *call.Request) *call.Response {
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
	case backendBroken:
		w.deliver(addr, r)
		return call.ErrorResponse(r.Attempt, verdict.Wrap(verdict.MayHaveRun, io.EOF))
	case backendTruncated:
		w.deliver(addr, r)
		return call.ErrorResponse(r.Attempt, verdict.Wrap(verdict.Ran, io.ErrUnexpectedEOF))
	}
	return w.deliver(addr, r)
}

func (w *simulation) fence(_ context.Context, addr string, id fence.AttemptID) fence.Answer {
	if w.killed[addr] || w.steps[id].fenceLost {
		if !w.killed[addr] && w.steps[id].fault != requestLost {
			w.table(addr).Fence(id) // the answer is lost, the effect is not
		}
		return fence.Unknown
	}
	return w.table(addr).Fence(id)
}

// settle runs the delayed events.
func (w *simulation) settle() {
	for _, f := range w.late {
		f()
	}
}

// play sends one save through a handler against history.
func play(history []step) (*simulation, int, verdict.Verdict, []byte) {
	w := newSimulation(history)
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

// retryAlways is a common retry loop: it sends again after every failure.
func retryAlways(history []step) *simulation {
	w := newSimulation(history)
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

// Guards against any history of faults in which a save runs twice, a caller gets not-run for a save
// that ran or ran for one that did not, or a response with another request's body.
func TestFaultHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := historyGenerator().Draw(t, "history")
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

// Guards against histories with too few faults to be a test: a loop that always retries must run
// many of the saves twice, and the handler must serve requests that may be sent again after a
// single proven refusal.
func TestUnconditionalRetryRunsTwice(t *testing.T) {
	const histories = 500
	repeated, servedByRetryAlways, served := 0, 0, 0
	for seed := range histories {
		history := historyGenerator().Example(seed)
		n := retryAlways(history)
		if n.runs > 1 {
			repeated++
		} else if n.runs == 1 {
			servedByRetryAlways++
		}
		w, status, _, _ := play(history)
		if w.runs > 1 {
			t.Fatalf("history %v ran %d times", history, w.runs)
		}
		if status == http.StatusOK {
			served++
		}
	}
	t.Logf("of %d histories: unconditional retries ran %d saves twice or more and %d once; the handler served %d", histories, repeated, servedByRetryAlways, served)
	if repeated < histories/10 {
		t.Fatalf("unconditional retries ran only %d of %d saves more than once", repeated, histories)
	}
	if served < histories/10 {
		t.Fatalf("the handler served only %d of %d saves", served, histories)
	}
}
