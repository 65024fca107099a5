package store

import (
	"context"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

const departurePartition = "departure"

// DepartureLog keeps the last departure of the backend server on one instance.
type DepartureLog struct {
	client   *Client
	instance endpoint.InstanceID
}

// Departures returns the log of the departures of the backend server on instance.
func (c *Client) Departures(instance endpoint.InstanceID) *DepartureLog {
	return &DepartureLog{client: c, instance: instance}
}

// Last returns the last departure, the zero value if there is none.
func (l *DepartureLog) Last(ctx context.Context) (endpoint.Departure, error) {
	found, err := l.client.get(ctx, departurePartition, string(l.instance))
	if err != nil || found == nil {
		return endpoint.Departure{}, err
	}
	return endpoint.Departure{
		ServerID: found.text("server"), StartedMS: int64(found.number("started")), At: found.time("at"),
	}, nil
}

// Record replaces the last departure.
func (l *DepartureLog) Record(ctx context.Context, d endpoint.Departure) error {
	item := key(departurePartition, string(l.instance))
	item["server"], item["started"], item["at"] = text(d.ServerID), number(uint64(max(d.StartedMS, 0))), milliseconds(d.At)
	return l.client.retry(ctx, "record departure", func(ctx context.Context) error {
		return l.client.put(ctx, item, clause{})
	})
}
