package convergence

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a version missed because its line was read in two parts, and against other events
// taken for it.
func TestLogTail(t *testing.T) {
	is := is.New(t)
	var tail logTail
	tail.add([]byte(`{"ts":100.5,"event":5103,"version":9}` + "\n" + `{"ts":101.25,"event":5`))
	_, ok := tail.reached(1)
	is.True(!ok)
	tail.add([]byte(`101,"version":3}` + "\nnot JSON\n"))
	at, ok := tail.reached(2)
	is.True(ok)
	is.Equal(at, time.UnixMilli(101250))
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
