package store

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

const departurePartition = "departure"

// DepartureLog keeps the departures of the backend servers on one instance.
type DepartureLog struct {
	client   *Client
	instance endpoint.InstanceID
}

// Departures returns the log of the departures of the backend servers on instance.
func (c *Client) Departures(instance endpoint.InstanceID) *DepartureLog {
	return &DepartureLog{client: c, instance: instance}
}

// Load returns the recorded departures. Rows of earlier releases hold the last one only.
func (l *DepartureLog) Load(ctx context.Context) (endpoint.Departures, error) {
	found, err := l.client.get(ctx, departurePartition, string(l.instance))
	if err != nil || found == nil {
		return nil, err
	}
	var list endpoint.Departures
	if earlier := found.text("earlier"); earlier != "" {
		if err := json.Unmarshal([]byte(earlier), &list); err != nil {
			return nil, errors.Wrapf(err, "departures of %s", l.instance)
		}
	}
	return append(list, endpoint.Departure{
		ServerID: found.text("server"), StartedMS: int64(found.number("started")), At: found.time("at"),
	}), nil
}

// Record replaces the recorded departures.
func (l *DepartureLog) Record(ctx context.Context, list endpoint.Departures) error {
	if len(list) == 0 {
		return nil
	}
	last := list.Last()
	earlier, err := json.Marshal(list[:len(list)-1])
	if err != nil {
		return errors.Wrap(err, "departures")
	}
	item := key(departurePartition, string(l.instance))
	item["server"], item["started"], item["at"] = text(last.ServerID), number(uint64(max(last.StartedMS, 0))), milliseconds(last.At)
	item["earlier"] = text(string(earlier))
	return l.client.retry(ctx, "record departure", func(ctx context.Context) error {
		return l.client.put(ctx, item, clause{})
	})
}
