package membership

import "github.com/fxamacker/cbor/v2"

// queued is an update to be sent with one of the next packets.
type queued struct {
	key  string
	data cbor.RawMessage
	// localOnly restricts the update to members of the local failure domain.
	localOnly bool
	// replaced marks an update that was superseded by a newer one with the same key.
	replaced bool
}

// queue groups updates by the number of times they were sent, so that the least sent are sent first
// and choosing them does not require a scan of all queued updates.
type queue struct {
	bySent [][]*queued
	byKey  map[string]*queued
}

func newQueue() *queue { return &queue{byKey: map[string]*queued{}} }

// put adds an update and replaces the previous one with the same key.
func (q *queue) put(key string, data []byte, localOnly bool) {
	if old := q.byKey[key]; old != nil {
		old.replaced = true
	} else if len(q.byKey) >= maxQueued {
		q.dropMostSent()
	}
	u := &queued{key: key, data: data, localOnly: localOnly}
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

// take returns the updates for one packet, at most budget bytes in total. Each update is removed
// after limit transmissions. The first update that does not fit ends the selection.
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
			case remote && u.localOnly:
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
