package endpoint

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a list of departures that grows without bound, loses a recent one, or keeps one that no longer
// matters.
func TestDeparturesMerge(t *testing.T) {
	is := is.New(t)
	at := time.UnixMilli(1_800_000_000_000)
	var list Departures
	for n := range 3 * MaxDepartures {
		list = list.Merge(Departures{{ServerID: fmt.Sprint("i-", n), At: at.Add(time.Duration(n) * time.Second)}})
	}
	is.Equal(len(list), MaxDepartures)
	is.Equal(list.Last().ServerID, fmt.Sprint("i-", 3*MaxDepartures-1))
	earlier := Departures{{ServerID: "i-0", At: at}, {}}
	is.Equal(earlier.Merge(earlier), Departures{{ServerID: "i-0", At: at}})
	again := Departures{{ServerID: "i-0", At: at.Add(time.Minute)}}
	is.Equal(earlier.Merge(again), again)
	is.True(again.Include(earlier[:1]))
	is.True(!earlier.Include(again))
	later := Departures{{ServerID: "i-9", At: at.Add(DepartureRetention + time.Second)}}
	is.Equal(earlier.Merge(later), later)
	is.Equal(Departures{}.Last(), Departure{})
}
