package convergence

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/agent/store"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
	"kingcupwood.example/kingcupwood/tools/fleet"
)

// convergeLimit is how long a change is followed. A daemon that needs longer counts as missing.
const convergeLimit = 20 * time.Second

// changeStride spreads the changes over the services; it is prime to their numbers.
const changeStride = 611

var operator = store.Operator{Name: "bench", Services: []string{store.AllServices}}

// draft is a submitted change of one service.
type draft struct {
	store.Draft
	config *snapshot.Service
	token  string
}

// submit stores the answers of the next change.
func (w *world) submit(ctx context.Context) (draft, error) {
	w.changes++
	service, rate := w.changes*changeStride%w.spec.Services, baseRate+w.changes
	config, err := generate(service, rate)
	if err != nil {
		return draft{}, err
	}
	submitted, err := w.client.Submit(ctx, operator, config.Name, answerFile(service, rate))
	return draft{Draft: submitted, config: config, token: fmt.Sprintf("change-%d", w.changes)}, err
}

// accept puts a draft in force and returns the time at which the platform confirmed it.
func (w *world) accept(ctx context.Context, d draft) (snapshot.Version, time.Time, error) {
	outcome, err := w.client.Accept(ctx, operator, d.Service, d.Hash, w.current.Version, d.token)
	at := time.Now()
	if err != nil {
		return 0, at, errors.Wrap(err, "accept")
	}
	if outcome.State != store.StateAccepted {
		return 0, at, errors.Errorf("accept: outcome %v", outcome.State)
	}
	next, err := w.current.With(outcome.Change.Version, d.config, outcome.Change.Revision)
	if err != nil {
		return 0, at, err
	}
	w.current = next
	return next.Version, at, nil
}

// change submits and accepts the next change.
func (w *world) change(ctx context.Context) (snapshot.Version, time.Time, error) {
	d, err := w.submit(ctx)
	if err != nil {
		return 0, time.Time{}, errors.Wrap(err, "submit")
	}
	return w.accept(ctx, d)
}

// delays are the times from an event until the daemons had a version in force, in ascending order.
// A daemon may be a little ahead of the response that confirms an accept.
type delays struct {
	list []time.Duration
	// missing daemons had not reached the version within convergeLimit.
	missing int
}

// converge waits until the daemons have version v in force and returns the times since an event.
func (w *world) converge(ctx context.Context, instances []*fleet.Instance, v snapshot.Version, since time.Time) (delays, error) {
	ctx, cancel := context.WithDeadline(ctx, since.Add(convergeLimit))
	defer cancel()
	times, missing, err := w.await(ctx, instances, v)
	d := delays{missing: missing}
	for _, at := range times {
		d.list = append(d.list, at.Sub(since))
	}
	slices.Sort(d.list)
	return d, err
}

// add merges the delays of another change.
func (d *delays) add(other delays) {
	d.list = append(d.list, other.list...)
	slices.Sort(d.list)
	d.missing += other.missing
}

// at returns the delay in seconds below which the given share of the daemons stays; missing daemons
// count as convergeLimit.
func (d delays) at(share float64) float64 {
	n := len(d.list) + d.missing
	place := min(int(share*float64(n)), n-1)
	if place < 0 || place >= len(d.list) {
		return convergeLimit.Seconds()
	}
	return d.list[place].Seconds()
}

func (d delays) median() float64 { return d.at(0.5) }

func (d delays) worst() float64 { return d.at(1) }
