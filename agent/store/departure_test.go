package store

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

// Guards against a departure that is recorded for another instance, or loses the identity of its server.
func TestDepartures(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	log := h.client.Departures("one")
	list, err := log.Load(h.ctx)
	is.NoErr(err)
	is.Equal(len(list), 0)
	var all endpoint.Departures
	for started := range int64(3) {
		all = append(all, endpoint.Departure{ServerID: "s", StartedMS: started, At: time.UnixMilli(1_800_000_000_000 + started).UTC()})
		is.NoErr(log.Record(h.ctx, all))
		list, err = log.Load(h.ctx)
		is.NoErr(err)
		is.Equal(len(list), len(all))
		for i, d := range list {
			is.True(d.At.Equal(all[i].At))
			is.Equal(d.ServerID, all[i].ServerID)
			is.Equal(d.StartedMS, all[i].StartedMS)
		}
	}
	list, err = h.client.Departures("two").Load(h.ctx)
	is.NoErr(err)
	is.Equal(len(list), 0)
}
