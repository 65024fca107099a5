package admission

import "strings"

// serviceCallSuffix marks the share of a kind that is reserved for calls by other services. It
// cannot collide with a kind, as no kind name contains a slash.
const serviceCallSuffix = "/called"

// ServiceCallKind returns the kind name to pass to Acquire for a request of kind that another
// service sends. Such calls have their own share of the declared rate: otherwise a flood of direct
// requests would use up the tokens of calls on which requests of other kinds depend, and fail those
// as well.
func ServiceCallKind(kind string) string { return kind + serviceCallSuffix }

// WithServiceCallRates returns c with a part of the rate of each kind reserved for calls by other
// services. rates holds these parts by kind, in requests per second of this instance. If a kind
// declares a lower rate, all of it is reserved.
func (c Config) WithServiceCallRates(rates map[string]float64) Config {
	kinds := make([]Kind, 0, len(c.Kinds)+len(rates))
	for _, k := range c.Kinds {
		serviceCalls := k
		serviceCalls.Name = ServiceCallKind(k.Name)
		serviceCalls.Rate = min(rates[k.Name], k.Rate)
		k.Rate -= serviceCalls.Rate
		kinds = append(kinds, k)
		if serviceCalls.Rate > 0 {
			kinds = append(kinds, serviceCalls)
		}
	}
	c.Kinds = kinds
	return c
}

// kind returns the state of the kind with the given name. Service calls of a kind without a
// reserved rate share the state of direct requests.
func (c *Controller) kind(name string) *kindState {
	if k := c.kinds[name]; k != nil {
		return k
	}
	if k := c.kinds[strings.TrimSuffix(name, serviceCallSuffix)]; k != nil {
		return k
	}
	return c.unknown
}
