package membership

import "github.com/fxamacker/cbor/v2"

// queued is an update that waits to be sent with the next packets.
type queued struct {
	key  string
	data cbor.RawMessage
	// local restricts the update to members of the own failure domain.
	local bool
	// replaced marks an update whose key has a newer one.
	replaced bool
}

// queue holds updates by the number of times they were sent, so that the newest go first and
// choosing them costs nothing per waiting update.
type queue struct {
	bySent [][]*queued
	byKey  map[string]*queued
}

func newQueue() *queue { return &queue{byKey: map[string]*queued{}} }

// put adds an update and drops the previous one with the same key.
func (q *queue) put(key string, data []byte, local bool) {
	if old := q.byKey[key]; old != nil {
		old.replaced = true
	} else if len(q.byKey) >= maxQueued {
		q.dropMostSent()
	}
	u := &queued{key: key, data: data, local: local}
	q.byKey[key] = u
	q.push(0, u)
}

// drop removes the update with the given key, if there is one.
func (q *queue) drop(key string) {
	if old := q.byKey[key]; old != nil {
		old.replaced = true
		delete(q.byKey, key)
	}
}

func (q *queue) push(sent int, u *queued) {
	for len(q.bySent) <= sent {
		q.bySent = append(q.bySent, nil)
	}
	q.bySent[sent] = append(q.bySent[sent], u)
}

func (q *queue) dropMostSent() {
	for sent := len(q.bySent) - 1; sent >= 0; sent-- {
		for list := q.bySent[sent]; len(list) > 0; list = q.bySent[sent] {
			u := list[0]
			q.bySent[sent] = list[1:]
			if !u.replaced {
				delete(q.byKey, u.key)
				return
			}
		}
	}
}

// take returns the updates for one packet, at most budget bytes in total. Each update is dropped
// after limit transmissions. An update that does not fit ends the search.
func (q *queue) take(budget, limit int, remote bool) []cbor.RawMessage {
	var chosen []*queued
	var counts []int
	var data []cbor.RawMessage
	full := false
	for sent := 0; sent < len(q.bySent) && !full; sent++ {
		list := q.bySent[sent]
		kept := list[:0]
		for i, u := range list {
			switch {
			case u.replaced:
			case remote && u.local:
				kept = append(kept, u)
			case len(u.data) > budget:
				full = true
				kept = append(kept, list[i:]...)
			default:
				budget -= len(u.data)
				chosen, counts, data = append(chosen, u), append(counts, sent+1), append(data, u.data)
			}
			if full {
				break
			}
		}
		clear(list[len(kept):])
		q.bySent[sent] = kept
	}
	for i, u := range chosen {
		if counts[i] >= limit {
			delete(q.byKey, u.key)
		} else {
			q.push(counts[i], u)
		}
	}
	return data
}
