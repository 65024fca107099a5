package usage

import (
	"context"
	"flag"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

var allCuts = flag.Bool("usage.cuts", false, "play cuts at more phases, with more loads and caps")

// cutPlay is one play of a cut: a failure domain is cut off at a phase of the probes between domains, and the load
// of an account changes at the same time.
type cutPlay struct {
	Daemons int
	Phase   time.Duration
	Cut     cutDomain
	// Before and After are requests per second by the rate of the cap.
	Before, After float64
	Where         place
}

// cutDomain is the domain that is cut off.
type cutDomain string

const (
	ownerDomain cutDomain = "of the owner"
	nextDomain  cutDomain = "next"
)

// place is where the requests after the cut arrive.
type place string

const (
	everywhere place = "everywhere"
	inside     place = "inside the cut domain"
	outside    place = "outside of it"
)

const (
	// probeTurn is the interval of the probes of other domains by one daemon.
	probeTurn = 3 * time.Second
	cutTime   = 5500 * time.Millisecond
)

// worst returns the largest number of requests in a window by the number that is allowed, and the part of the requests
// that were refused because no owner replied.
func (p cutPlay) worst(t *testing.T, account *snapshot.Account) (ratio, absent float64) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		f := startFleet(ctx, &wg, p.Daemons, account)
		time.Sleep(10 * time.Second)
		f.load(ctx, int(p.Before*account.Rate), 7*time.Second)
		time.Sleep(time.Until(time.Now().Truncate(probeTurn).Add(probeTurn + p.Phase)))
		cut := f.owner() % testDomains
		if p.Cut == nextDomain {
			cut = (cut + 1) % testDomains
		}
		isInside := func(i int, _ *testDaemon) bool { return i%testDomains == cut }
		f.setGroup(1, isInside)
		time.AfterFunc(cutTime, func() { f.setGroup(0, func(int, *testDaemon) bool { return true }) })
		daemons := slices.Clone(f.daemons)
		if p.Where != everywhere {
			daemons = nil
			for i, d := range f.daemons {
				if isInside(i, d) == (p.Where == inside) {
					daemons = append(daemons, d)
				}
			}
		}
		f.absent, f.asked = 0, 0
		f.loadAt(ctx, daemons, int(p.After*account.Rate), cutTime)
		absent = float64(f.absent) / float64(f.asked)
		f.load(ctx, int(p.After*account.Rate), time.Second)
		f.load(ctx, int(p.Before*account.Rate), 3*time.Second)
		ratio = float64(f.worstWindow()) / float64(f.allowed())
		cancel()
		wg.Wait()
	})
	return ratio, absent
}

// Guards against two daemons that lend the tokens of an account at once when a failure domain is cut off, at each
// phase of the probes that detect it (review/9).
func TestCutKeepsTheCap(t *testing.T) {
	accounts := []*snapshot.Account{{Name: "shop", Rate: 300, Burst: 300}}
	loads, places := [][2]float64{{0.7, 5.25}, {0.7, 0.7}}, []place{everywhere}
	if *allCuts {
		accounts = append(accounts, &snapshot.Account{Name: "shop", Rate: 1000, Burst: 200}, &snapshot.Account{Name: "shop", Rate: 10, Burst: 10})
		loads, places = append(loads, [2]float64{0.3, 3}), append(places, inside, outside)
	}
	for _, account := range accounts {
		for _, daemons := range []int{3, 9, 24} {
			step := 500 * time.Millisecond
			switch {
			case *allCuts:
				step /= 2
			case daemons > testDomains:
				step *= 3 // domains of several machines probe each other more often
			}
			highest, refused, plays, above := 0.0, 0.0, 0, 0
			for _, cut := range []cutDomain{ownerDomain, nextDomain} {
				for _, load := range loads {
					for _, where := range places {
						for phase := 10 * time.Millisecond; phase < probeTurn; phase += step {
							p := cutPlay{Daemons: daemons, Phase: phase, Cut: cut, Before: load[0], After: load[1], Where: where}
							ratio, absent := p.worst(t, account)
							highest, plays = max(highest, ratio), plays+1
							if load[0] == load[1] {
								refused += absent / float64(len(places)) * step.Seconds() / probeTurn.Seconds() / 2
							}
							if ratio > 1 {
								above++
								t.Errorf("%+v: %.3f of the allowed requests in a window", p, ratio)
							}
						}
					}
				}
			}
			t.Logf("rate %v, burst %d, %d daemons: at most %.3f of the allowed requests in a window, above it in %d of %d plays; at 0.7 of the cap, %.3f refused without an owner",
				account.Rate, account.Burst, daemons, highest, above, plays, refused)
		}
	}
}
