package convergence

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a version missed because its line was read in two parts, and against other events
// taken for it. A line without a time must not count, as it would look like an immediate change.
func TestLogTail(t *testing.T) {
	is := is.New(t)
	var tail logTail
	tail.add([]byte(`{"time":"2026-12-04T07:00:00.500Z","event":5103,"version":9}` + "\n" + `{"time":"2026-12-04T07:00:01.250Z","event":5`))
	_, ok := tail.reached(1)
	is.True(!ok)
	tail.add([]byte(`101,"version":3}` + "\nnot JSON\n" + `{"event":5101,"version":8}` + "\n"))
	at, ok := tail.reached(2)
	is.True(ok)
	is.Equal(at, time.Date(2026, 12, 4, 7, 0, 1, 250e6, time.UTC))
	_, ok = tail.reached(4)
	is.True(!ok)
}

// Guards against answers of the benchmark that the accept path would refuse.
func TestServicesAreValid(t *testing.T) {
	is := is.New(t)
	s, objects, err := buildSnapshot(30)
	is.NoErr(err)
	is.Equal(len(s.Services), 30)
	is.Equal(len(objects), 30)
	changed, err := generate(7, baseRate+1)
	is.NoErr(err)
	_, err = s.With(2, changed, 2)
	is.NoErr(err)
}
