package convergence

import (
	"context"
	"time"
)

const (
	// settleTime passes between the start and the first window, so that the work of the joins is
	// not taken for that of a daemon at rest. The first exchanges for repair fall into it.
	settleTime = 15 * time.Second
	// spreadPerDaemon is the length by daemon of the window in which the records of a start are still
	// spread with the probes, since each daemon sends each of them several times. With 100 daemons the
	// spread went on 35 s after the start and was over after 100 s.
	spreadPerDaemon = 850 * time.Millisecond
	// idleTime and changesTime are the lengths of the windows.
	idleTime    = 20 * time.Second
	changesTime = 30 * time.Second
)

// steady is the result of a deployment without failures.
type steady struct {
	start, idle, changing Window
	delays                delays
	// cold is the highest rate of platform reads per second during the start.
	cold float64
}

// runSteady measures a deployment at rest and with changes at the given rate per second.
func (w *world) runSteady(ctx context.Context, rate float64) (result steady, err error) {
	result.cold = w.coldRate
	pause(ctx, settleTime)
	for _, at := range []struct {
		window *Window
		length time.Duration
	}{{&result.start, time.Duration(w.spec.Daemons) * spreadPerDaemon}, {&result.idle, idleTime}} {
		*at.window, err = w.measure(ctx, func() (int, error) {
			pause(ctx, at.length)
			return 0, ctx.Err()
		})
		if err != nil {
			return result, err
		}
	}
	result.changing, err = w.measure(ctx, func() (int, error) {
		var n int
		n, result.delays, err = w.makeChanges(ctx, rate, changesTime)
		return n, err
	})
	return result, err
}

// makeChanges makes changes at the given rate and collects how long each took to be in force.
func (w *world) makeChanges(ctx context.Context, rate float64, length time.Duration) (n int, all delays, err error) {
	interval := time.Duration(float64(time.Second) / rate)
	end := time.Now().Add(length)
	for next := time.Now(); next.Before(end); next = next.Add(interval) {
		pause(ctx, time.Until(next))
		version, at, err := w.change(ctx)
		if err != nil {
			return n, all, err
		}
		n++
		d, err := w.converge(ctx, w.fleet.Instances, version, at)
		if err != nil {
			return n, all, err
		}
		all.add(d)
	}
	pause(ctx, time.Until(end))
	return n, all, ctx.Err()
}
