package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/idempotency"
	"kingcupwood.example/kingcupwood/pkg/retry"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

// askTimeout bounds the first question to a former owner. It is many round trips between failure
// domains, and short against the deadline of a request.
const askTimeout = 100 * time.Millisecond

var (
	errFormerSilent  = errors.New("a former owner of the idempotency key does not answer, and may have run it")
	errFormerRunning = errors.New("a former owner of the idempotency key is still running it")
)

// KeyQuery asks a former owner of a key what it knows, before the key is run by Asker.
type KeyQuery struct {
	Key   idempotency.Key
	Asker idempotency.Peer
	// Wait is how long the answer may be delayed until a run in progress has ended; 0 answers at once.
	Wait time.Duration
}

// KeyAnswer is the answer to a KeyQuestion.
type KeyAnswer struct {
	State  idempotency.State
	Record KeyRecord // with State Held
	// StartedMS is the Unix time in milliseconds at which the answering daemon started.
	StartedMS uint64
}

// QueryKey sends q to the daemon with the net/rpc address addr.
type QueryKey func(ctx context.Context, addr string, q KeyQuery) (KeyAnswer, error)

// AnswerKey answers the question of another daemon. If the key is not known here, a later submission of
// it here asks that daemon first. Errors: idempotency.ErrTooManyMoved.
func (h *Handler) AnswerKey(ctx context.Context, q KeyQuery) (KeyAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, q.Wait)
	defer cancel()
	state, record, err := h.keys.table.Answer(ctx, q.Key, q.Asker)
	return KeyAnswer{State: state, Record: record, StartedMS: h.config.StartedMS}, err
}

// RecordOwners remembers the owners of keys by view. It is called several times a second, which also shows
// whether the daemon was frozen.
func (h *Handler) RecordOwners(view *endpoint.View) {
	h.keys.history.tick(h.config.Now())
	if own := view.Records[h.config.Instance]; own.Service != "" {
		h.keys.history.note(view, own.Service, h.config.Now())
	}
}

// askFormer asks the former owners of key for its outcome, and movedTo if it is set. Errors:
// errFormerSilent, errFormerRunning, idempotency.ErrYield.
func (k *keyOwner) askFormer(ctx context.Context, key idempotency.Key, movedTo idempotency.Peer) (KeyRecord, bool, error) {
	config := &k.handler.config
	now := config.Now()
	sets := k.history.note(config.View(), key.Service, now)
	former := sets.formerOwners(config.Instance, key.Value, now, k.history.wasPaused(now))
	if movedTo.Name != "" {
		former = append(former, endpoint.Record{Instance: endpoint.InstanceID(movedTo.Name), RPCAddr: movedTo.Addr})
	}
	if len(former) == 0 {
		return KeyRecord{}, false, nil
	}
	k.handler.metrics.questions.Add(int64(len(former)))
	answers := make(chan formerAnswer, len(former))
	for _, r := range former {
		go func() { answers <- k.askOne(ctx, sets, key, r) }()
	}
	var failed error
	for range former {
		a := <-answers
		switch {
		case a.err != nil:
			failed = a.err
		case a.State == idempotency.Held:
			return a.Record, true, nil
		}
	}
	return KeyRecord{}, false, failed
}

type formerAnswer struct {
	KeyAnswer
	err error
}

// askOne asks the daemon of r, and waits while it runs the key. Its answer is Free, Held or an error.
func (k *keyOwner) askOne(ctx context.Context, sets *ownerSets, key idempotency.Key, r endpoint.Record) formerAnswer {
	config := &k.handler.config
	self := idempotency.Peer{Name: string(config.Instance), Addr: config.View().Records[config.Instance].RPCAddr}
	question := KeyQuery{Key: key, Asker: self}
	a, err := k.askWithin(ctx, askTimeout, r, question)
	if err == nil && a.State != idempotency.Held && r.Incarnation > 0 && a.StartedMS > r.Incarnation {
		err = errors.New("the daemon has been restarted") // its keys are lost unless it handed them over
	}
	if err != nil && sets.handedOver(r) {
		return formerAnswer{KeyAnswer: KeyAnswer{State: idempotency.Free}}
	}
	if err != nil {
		return formerAnswer{err: errFormerSilent}
	}
	// Of two daemons that ask each other, the one with the lower name goes first. So those that wait
	// for each other are in the order of their names, and form no cycle.
	if a.State == idempotency.Checking && r.Instance < config.Instance {
		return formerAnswer{err: idempotency.ErrYield}
	}
	if a.State == idempotency.Checking || a.State == idempotency.Running {
		a, err = k.waitFor(ctx, r, question)
	}
	return formerAnswer{a, err}
}

// waitFor repeats question with the time that is left, until the run at the daemon of r has ended.
func (k *keyOwner) waitFor(ctx context.Context, r endpoint.Record, question KeyQuery) (KeyAnswer, error) {
	deadline, _ := ctx.Deadline()
	left := deadline.Sub(k.handler.config.Now())
	question.Wait = retry.HopTimeout(left)
	a, err := k.askWithin(ctx, left, r, question)
	if err == nil && (a.State == idempotency.Free || a.State == idempotency.Held) {
		return a, nil
	}
	return a, errFormerRunning
}

func (k *keyOwner) askWithin(ctx context.Context, limit time.Duration, r endpoint.Record, q KeyQuery) (KeyAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return k.handler.config.QueryKey(ctx, r.RPCAddr, q)
}

// formerRefusal answers a submission that was not run because of a former owner. The verdict is that of
// the key: an earlier submission may have run.
func formerRefusal(err error) *refusal {
	f := refuse(http.StatusGatewayTimeout, "%v; this submission has not run", err)
	f.verdict = verdict.MayHaveRun
	f.retryAfter = ownerRetryAfter
	return f
}
