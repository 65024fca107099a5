package admission

import "strings"

// calledSuffix marks the share of a kind that other services call. No kind name contains a slash.
const calledSuffix = "/called"

// ServiceCallKind returns the name for Acquire of a request of kind that another service sends. It has a
// share of its own in the declared rate of the kind: a flood of direct requests would otherwise take
// the tokens of the calls that requests of other kinds depend on, and fail those requests as well.
func ServiceCallKind(kind string) string { return kind + calledSuffix }

// WithServiceCallRates returns c with a part of the rate of each kind set aside for calls by other services.
// rates holds these parts in requests per second of this instance, by kind. If a kind declares less
// than that, all of it is set aside.
func (c Config) WithServiceCallRates(rates map[string]float64) Config {
	kinds := make([]Kind, 0, len(c.Kinds)+len(rates))
	for _, k := range c.Kinds {
		called := k
		called.Name = ServiceCallKind(k.Name)
		called.Rate = min(rates[k.Name], k.Rate)
		k.Rate -= called.Rate
		kinds = append(kinds, k)
		if called.Rate > 0 {
			kinds = append(kinds, called)
		}
	}
	c.Kinds = kinds
	return c
}

// kind returns the state of the kind with a name. A called kind for which no rate is set aside
// shares that of direct requests.
func (c *Controller) kind(name string) *kindState {
	if k := c.kinds[name]; k != nil {
		return k
	}
	if k := c.kinds[strings.TrimSuffix(name, calledSuffix)]; k != nil {
		return k
	}
	return c.unknown
}
