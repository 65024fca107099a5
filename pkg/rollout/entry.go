// Package rollout decides how the requests of a service move from the servers of one version to those
// of another: which versions may get requests, how the share of the target version grows, and whether
// the target is worse than the old version. It is pure: time and measurements are arguments.
package rollout

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

// Phase is the phase of a roll-out.
type Phase uint8

// The phases. Completed and RolledBack are final.
const (
	// Canary sends a small share to some servers of the target version.
	Canary Phase = iota + 1
	// Ramp raises the share after a good judgement.
	Ramp
	// Handover makes the daemons beside servers of other versions refuse requests.
	Handover
	// Completed makes the target the version of the service.
	Completed
	// RolledBack keeps all requests from the target version.
	RolledBack
)

var phaseNames = [...]string{Canary: "canary", Ramp: "ramp", Handover: "handover", Completed: "completed", RolledBack: "rolled back"}

// String returns the name of p.
func (p Phase) String() string {
	if int(p) < len(phaseNames) && phaseNames[p] != "" {
		return phaseNames[p]
	}
	return "none"
}

// Final reports whether the phase never ends.
func (p Phase) Final() bool { return p == Completed || p == RolledBack }

// FullShare is the share of all requests. Shares are in steps of 1/FullShare.
const FullShare = 1000

// Entry is the state of a roll-out as its coordinator publishes it.
type Entry struct {
	Service string
	// From and Target are version keys (endpoint.VersionKey). From is empty if the coordinator did not
	// know the version of the service.
	From, Target string
	// Order is the number of the order, Token the fencing token of the coordinator.
	Order, Token uint64
	// Share is the share of the target version, at most FullShare.
	Share int
	Phase Phase
}

// Replaces reports whether e takes precedence over other, an entry of the same service: a later order,
// then a final phase, then a later coordinator, then the later state of one coordinator.
func (e Entry) Replaces(other Entry) bool {
	switch {
	case e.Order != other.Order:
		return e.Order > other.Order
	case e.Phase.Final() != other.Phase.Final():
		return e.Phase.Final()
	case e.Token != other.Token:
		return e.Token > other.Token
	case e.Phase != other.Phase:
		return e.Phase > other.Phase
	}
	return e.Share > other.Share
}

func (e Entry) valid() bool {
	return e.Service != "" && e.Target != "" && e.Order > 0 && e.Phase >= Canary && e.Phase <= RolledBack &&
		e.Share >= 0 && e.Share <= FullShare &&
		len(e.From) <= endpoint.MaxVersionBytes && len(e.Target) <= endpoint.MaxVersionBytes
}

// Encode returns the text of as many entries as fit in an endpoint record, and their number. Entries
// that are not final come first, then those of later orders.
func Encode(entries []Entry) (text string, fitting int) {
	list := slices.Clone(entries)
	slices.SortFunc(list, func(a, b Entry) int {
		switch {
		case a.Phase.Final() != b.Phase.Final():
			if b.Phase.Final() {
				return -1
			}
			return 1
		case a.Order != b.Order:
			return cmp.Compare(b.Order, a.Order)
		}
		return strings.Compare(a.Service, b.Service) // one transaction may write two orders
	})
	data := []byte("[")
	for _, e := range list {
		item, err := json.Marshal([]any{e.Service, e.From, e.Target, e.Order, e.Token, e.Share, e.Phase})
		if err != nil || len(data)+len(item)+1 > endpoint.MaxRolloutsBytes {
			continue
		}
		if fitting > 0 {
			data = append(data, ',')
		}
		data = append(data, item...)
		fitting++
	}
	if fitting == 0 {
		return "", 0
	}
	return string(append(data, ']')), fitting
}

// Decode returns the valid entries of a text of Encode. It leaves out the others, which may come from a
// later release.
func Decode(text string) []Entry {
	if text == "" || len(text) > endpoint.MaxRolloutsBytes {
		return nil
	}
	var items []json.RawMessage
	if json.Unmarshal([]byte(text), &items) != nil {
		return nil
	}
	var entries []Entry
	for _, item := range items {
		var e Entry
		fields := []any{&e.Service, &e.From, &e.Target, &e.Order, &e.Token, &e.Share, &e.Phase}
		if json.Unmarshal(item, &fields) == nil && e.valid() {
			entries = append(entries, e)
		}
	}
	return entries
}
