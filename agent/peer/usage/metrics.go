package usage

import "expvar"

// metrics counts over all accounts since the start, unless stated otherwise.
type metrics struct {
	// taken, over and absent count requests by outcome; waited those that waited for the owner, returned those that
	// certainly have not run, and renewed the permits that had expired before an attempt was sent.
	taken, over, absent, waited, returned, renewed expvar.Int
	queriesSent, repliesReceived, repliesSent      expvar.Int
	staleReplies, malformed, ownerChanges          expvar.Int
	// borrowed is the number of accounts with requests in the last seconds, members that of other members.
	borrowed, members expvar.Int
}

// Metrics returns the counters for publication.
func (c *Caps) Metrics() expvar.Var {
	m := new(expvar.Map).Init()
	for name, counter := range map[string]*expvar.Int{
		"taken": &c.metrics.taken, "refused_over_cap": &c.metrics.over, "refused_without_owner": &c.metrics.absent,
		"waited": &c.metrics.waited, "returned": &c.metrics.returned, "renewed": &c.metrics.renewed,
		"queries": &c.metrics.queriesSent, "replies": &c.metrics.repliesReceived, "replies_sent": &c.metrics.repliesSent,
		"stale_replies": &c.metrics.staleReplies, "malformed": &c.metrics.malformed,
		"owner_changes": &c.metrics.ownerChanges, "accounts_in_use": &c.metrics.borrowed,
	} {
		m.Set(name, counter)
	}
	m.Set("expired", expvar.Func(func() any { return c.node.Borrower.Expired() }))
	m.Set("lent", expvar.Func(func() any { _, lent := c.node.Ledger.Stats(); return lent }))
	m.Set("accounts_owned", expvar.Func(func() any { owned, _ := c.node.Ledger.Stats(); return owned }))
	m.Set("share", expvar.Func(func() any { return c.node.Share() }))
	return m
}
