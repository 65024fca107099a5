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
	last, err := log.Last(h.ctx)
	is.NoErr(err)
	is.Equal(last, endpoint.Departure{})
	for started := range int64(2) {
		d := endpoint.Departure{ServerID: "s", StartedMS: started, At: time.UnixMilli(1_800_000_000_000 + started)}
		is.NoErr(log.Record(h.ctx, d))
		last, err = log.Last(h.ctx)
		is.NoErr(err)
		is.Equal(last, d)
	}
	last, err = h.client.Departures("two").Last(h.ctx)
	is.NoErr(err)
	is.Equal(last, endpoint.Departure{})
}
