package fence

// ring is a queue of fixed capacity. When it is full, a new element overwrites the oldest one.
type ring struct {
	ids  []AttemptID
	next int
	size int
}

func newRing(capacity int) ring { return ring{ids: make([]AttemptID, capacity)} }

// push appends id. If the ring was full, it returns the element that was overwritten and true.
func (r *ring) push(id AttemptID) (AttemptID, bool) {
	oldest, full := r.ids[r.next], r.size == len(r.ids)
	r.ids[r.next] = id
	r.next = (r.next + 1) % len(r.ids)
	if !full {
		r.size++
	}
	return oldest, full
}
