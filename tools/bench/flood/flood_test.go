package main

import (
	"slices"
	"testing"

	"github.com/matryer/is"
)

// testSeed is the default seed of the command, so that the tests check what it prints.
const testSeed = 1

// boundScenarios returns all scenarios, and under the race detector only those without a failure and a
// flood of the most urgent kind: a run has one goroutine, and all scenarios together take minutes there.
func boundScenarios() []scenario {
	if !raceDetector {
		return scenarios
	}
	return slices.DeleteFunc(slices.Clone(scenarios), func(sc scenario) bool { return sc.begin != nil || sc.floodMost })
}

// Guards against changes of admission control or selection that pass a bound of section 9 of the
// design under a flood, alone or together with a failure.
func TestBounds(t *testing.T) {
	for _, u := range users() {
		for _, sc := range boundScenarios() {
			t.Run(u.name+"/"+sc.name, func(t *testing.T) {
				t.Parallel()
				for _, r := range rows(u, sc, policyRanked, runScenario(u, sc, policyRanked, testSeed)) {
					if r.over() {
						t.Errorf("%s: %.2f %s, bound %.0f", r.name, r.value, r.unit, r.bound)
					}
				}
			})
		}
	}
}

// Guards against a comparison in which the floods are too weak to show a difference: the baselines
// must fail where the design says that they do.
func TestBaselinesPassBounds(t *testing.T) {
	is := is.New(t)
	u := pages()
	fifo := runScenario(u, scenario{}, policyFIFO, testSeed)
	is.True(fifo.servedShare("save") < topRankBound)
	strict := runScenario(u, scenario{floodMost: true}, policyStrict, testSeed)
	is.True(strict.servedShare("preview") < declaredBound)
}

// Guards against runs that depend on anything but the seed, such as the order of a map.
func TestRunsAreRepeatable(t *testing.T) {
	is := is.New(t)
	u, sc := pages(), scenario{begin: failingServer}
	a := runScenario(u, sc, policyRanked, testSeed)
	b := runScenario(u, sc, policyRanked, testSeed)
	is.Equal(a.counts, b.counts)
}
