package call

// Headers that a daemon sets on the request to the backend server, which passes them on when it
// calls another service.
const (
	// TimeoutHeader holds the time left in whole milliseconds.
	TimeoutHeader = "Kingcupwood-Timeout"
	// DepthHeader holds the number of daemons that the chain of calls has entered so far.
	DepthHeader = "Kingcupwood-Depth"
	// AttemptHeader holds the ID of the attempt on which the backend server works.
	AttemptHeader = "Kingcupwood-Attempt"
)
