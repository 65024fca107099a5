package soak

import "time"

// regression is a run that failed in the past.
type regression struct {
	seed   uint64
	length time.Duration
	// cause is the reason of the failure.
	cause string
}

// regressions run in each test without flags, in addition to ciSeeds.
var regressions = []regression{
	{982380, 12 * time.Second, "the run wrote invalid settings just before it started a daemon; later, a request on a connection " +
		"that was opened while the listener closed, and that no daemon accepted, counted as cut off"},
	{948599, 12 * time.Second, "the first cause of 982380"},
	{9825, 10 * time.Second, "the run sent SIGTERM 1 ms after the start of the process, which had no signal handler yet and no requests to cut off"},
}
