package admission

// Stats holds counts of a Controller since its start, and the accounts that it knows at present.
type Stats struct {
	// Refused counts the refusals by reason, OverShare those of them whose account was over its share.
	Refused   map[string]uint64 `json:"refused"`
	OverShare uint64            `json:"refused_over_share"`
	// ArrivedOverShare counts the requests whose account was over its share when they arrived.
	ArrivedOverShare uint64 `json:"arrived_over_share"`
	// Accounts is the number of accounts with requests in the last seconds, WaitingOverShare of those that are
	// over their share and have requests in the queue.
	Accounts         int `json:"accounts"`
	WaitingOverShare int `json:"accounts_waiting_over_share"`
}

// counts are the counters of Stats; they are guarded by the lock of the Controller.
type counts struct {
	refused                     [len(reasonNames)]uint64
	overShare, arrivedOverShare uint64
}

func (c *counts) add(r *Refusal) {
	c.refused[r.Reason]++
	if r.OverShare {
		c.overShare++
	}
}

// Stats returns the counts.
func (c *Controller) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Stats{
		Refused: map[string]uint64{}, OverShare: c.counts.overShare, ArrivedOverShare: c.counts.arrivedOverShare,
		Accounts: len(c.accounts.uses), WaitingOverShare: c.accounts.waitingOver(),
	}
	for reason := ReasonQueueFull; int(reason) < len(c.counts.refused); reason++ {
		s.Refused[reason.String()] = c.counts.refused[reason]
	}
	return s
}

// refusal returns a refusal of w.
func (c *Controller) refusal(w *Waiter, reason Reason) *Refusal {
	return &Refusal{Reason: reason, RetryAfter: c.retryAfter(), OverShare: c.accounts.isOver(w.account)}
}

// reject adds the refusal of w, which was waiting, to out.
func (c *Controller) reject(out deliveries, w *Waiter, r *Refusal) deliveries {
	c.counts.add(r)
	return append(out, delivery{w: w, refusal: r})
}
