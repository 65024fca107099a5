package soak

import "time"

// regression is a run that has failed once.
type regression struct {
	seed   uint64
	length time.Duration
	// cause tells why it failed.
	cause string
}

// regressions are run every time.
var regressions = []regression{
	{982380, 12 * time.Second, "the run wrote settings that cannot be read just before it started a daemon; later, a request on a connection " +
		"that was opened while the listener closed, and that no daemon took up, counted as cut"},
	{948599, 12 * time.Second, "as 982380, the first"},
	{9825, 10 * time.Second, "the run sent SIGTERM 1 ms after the start of the process, which had no handler yet and nothing to cut"},
}
