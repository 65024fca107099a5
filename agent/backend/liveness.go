package backend

import "time"

// livenessCount is the number of announcements that prove that their process lives. Single ones are late now and
// then.
const livenessCount = 3

// liveness tracks the announcements of one process of a backend server. A process that has left sends none, and
// those still on their way arrive within a bounded time; those of a process that lives go on.
type liveness struct {
	id        string
	startedMS int64
	// sequence is the highest of the announcements, zero if they have none.
	sequence uint64
	count    int
	first    time.Time
}

// note counts an announcement that arrives at now. One of another process begins anew, and one that is not
// above the highest sequence so far does not count.
func (l *liveness) note(a *checkedAnnouncement, now time.Time) {
	if l.count == 0 || a.ID != l.id || a.StartedMS != l.startedMS {
		*l = liveness{id: a.ID, startedMS: a.StartedMS, first: now}
	} else if a.Sequence != 0 && a.Sequence <= l.sequence {
		return
	}
	l.sequence = a.Sequence
	l.count++
}

// proven reports whether the announcements have gone on for at least span until now.
func (l *liveness) proven(now time.Time, span time.Duration) bool {
	return l.count >= livenessCount && now.Sub(l.first) >= span
}
