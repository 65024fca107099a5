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

// queryTimeout bounds the first query to a previous owner. It allows many round trips between
// failure domains and is short compared with request deadlines.
const queryTimeout = 100 * time.Millisecond

var (
	errPreviousOwnerUnreachable = errors.New("a former owner of the idempotency key does not answer, and may have run it")
	errPreviousOwnerRunning     = errors.New("a former owner of the idempotency key is still running it")
)

// KeyQuery requests the state of a key from a previous owner before Asker runs the key.
type KeyQuery struct {
	Key   idempotency.Key
	Asker idempotency.Peer
	// Wait is the longest time to hold the answer while a run is in progress; 0 answers at once.
	Wait time.Duration
}

// KeyAnswer is the answer to a KeyQuery.
type KeyAnswer struct {
	State  idempotency.State
	Record KeyRecord // with State Held
	// StartedMS is the Unix time in milliseconds at which the answering daemon started.
	StartedMS uint64
}

// QueryKey sends q to the daemon with the net/rpc address addr.
type QueryKey func(ctx context.Context, addr string, q KeyQuery) (KeyAnswer, error)

// AnswerKey answers a query of another daemon. If the key is free here, a later submission of it to
// this daemon queries the other daemon first. Errors: idempotency.ErrTooManyMoved.
func (h *Handler) AnswerKey(ctx context.Context, q KeyQuery) (KeyAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, q.Wait)
	defer cancel()
	state, record, err := h.keys.table.Lookup(ctx, q.Key, q.Asker)
	return KeyAnswer{State: state, Record: record, StartedMS: h.config.StartedMS}, err
}

// RecordOwners records the owners of keys according to view. It is called several times per second;
// a gap between calls shows that the daemon was frozen.
func (h *Handler) RecordOwners(view *endpoint.View) {
	h.keys.history.recordTick(h.config.Now())
	if own := view.Records[h.config.Instance]; own.Service != "" {
		h.keys.history.update(view, own.Service, h.config.Now())
	}
}

// queryPreviousOwners queries the previous owners of key, and movedTo if it is set, for the
// outcome. Errors: errPreviousOwnerUnreachable, errPreviousOwnerRunning, idempotency.ErrYield.
func (k *keyOwner) queryPreviousOwners(ctx context.Context, key idempotency.Key, movedTo idempotency.Peer) (KeyRecord, bool, error) {
	config := &k.handler.config
	now := config.Now()
	sets := k.history.update(config.View(), key.Service, now)
	previous := sets.previousOwners(config.Instance, key.Value, now, k.history.wasPaused(now))
	if movedTo.Name != "" {
		previous = append(previous, endpoint.Record{Instance: endpoint.InstanceID(movedTo.Name), RPCAddr: movedTo.Addr})
	}
	if len(previous) == 0 {
		return KeyRecord{}, false, nil
	}
	k.handler.metrics.keyQueries.Add(int64(len(previous)))
	answers := make(chan ownerAnswer, len(previous))
	for _, r := range previous {
		go func() { answers <- k.queryOwner(ctx, sets, key, r) }()
	}
	var failed error
	for range previous {
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

type ownerAnswer struct {
	KeyAnswer
	err error
}

// queryOwner queries the daemon of r and waits while it runs the key. The returned state is Free or
// Held unless err is set.
func (k *keyOwner) queryOwner(ctx context.Context, sets *ownerSets, key idempotency.Key, r endpoint.Record) ownerAnswer {
	config := &k.handler.config
	self := idempotency.Peer{Name: string(config.Instance), Addr: config.View().Records[config.Instance].RPCAddr}
	query := KeyQuery{Key: key, Asker: self}
	a, err := k.queryWithTimeout(ctx, queryTimeout, r, query)
	if err == nil && a.State != idempotency.Held && r.Incarnation > 0 && a.StartedMS > r.Incarnation {
		err = errors.New("the daemon has been restarted") // its keys are lost unless they were handed over
	}
	if err != nil && sets.handedOver(r) {
		return ownerAnswer{KeyAnswer: KeyAnswer{State: idempotency.Free}}
	}
	if err != nil {
		return ownerAnswer{err: errPreviousOwnerUnreachable}
	}
	// When two daemons query each other, the one with the lower name proceeds. Waiting daemons are
	// therefore ordered by name and cannot form a cycle.
	if a.State == idempotency.Checking && r.Instance < config.Instance {
		return ownerAnswer{err: idempotency.ErrYield}
	}
	if a.State == idempotency.Checking || a.State == idempotency.Running {
		a, err = k.awaitRun(ctx, r, query)
	}
	return ownerAnswer{a, err}
}

// awaitRun repeats query with the remaining time, until the run at the daemon of r has ended.
func (k *keyOwner) awaitRun(ctx context.Context, r endpoint.Record, query KeyQuery) (KeyAnswer, error) {
	deadline, _ := ctx.Deadline()
	left := deadline.Sub(k.handler.config.Now())
	query.Wait = retry.HopTimeout(left)
	a, err := k.queryWithTimeout(ctx, left, r, query)
	if err == nil && (a.State == idempotency.Free || a.State == idempotency.Held) {
		return a, nil
	}
	return a, errPreviousOwnerRunning
}

func (k *keyOwner) queryWithTimeout(ctx context.Context, limit time.Duration, r endpoint.Record, q KeyQuery) (KeyAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return k.handler.config.QueryKey(ctx, r.RPCAddr, q)
}

// previousOwnerRefusal returns the refusal of a submission that was not run because of a previous
// owner. Its verdict covers the key: an earlier submission may have run.
func previousOwnerRefusal(err error) *refusal {
	f := refuse(http.StatusGatewayTimeout, "%v; this submission has not run", err)
	f.verdict = verdict.MayHaveRun
	f.retryAfter = ownerRetryAfter
	return f
}
