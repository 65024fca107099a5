package caller

import (
	"slices"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/idempotency"
)

// ExportKeys returns the outcomes of the keys that this daemon holds.
func (h *Handler) ExportKeys() []KeyRecord { return h.keys.table.Export() }

// CloseKeys ends the ownership of keys at a graceful stop and returns their outcomes. Keyed
// requests and handovers that arrive later are refused.
func (h *Handler) CloseKeys() []KeyRecord { return h.keys.table.Close() }

// ImportKeys adds outcomes handed over by their previous owner. It returns the number of new ones,
// or idempotency.ErrClosed if this daemon has already handed over its own.
func (h *Handler) ImportKeys(records []KeyRecord) (int, error) {
	added, err := h.keys.table.Import(records)
	if err != nil {
		return 0, err
	}
	for _, r := range records {
		self := func(owner endpoint.Record) bool { return owner.Instance == h.config.Instance }
		if !slices.ContainsFunc(h.keys.ownersOf(r.Key), self) {
			h.keys.handoverPending.Store(true)
		}
	}
	return added, nil
}

// MisplacedKeys returns, by instance, the outcomes that other daemons need as owners according to
// view and that have not been handed over to them yet.
func (h *Handler) MisplacedKeys(view *endpoint.View) map[endpoint.InstanceID][]KeyRecord {
	now, byService := h.config.Now(), map[string][]endpoint.Record{}
	moved := h.keys.table.Misplaced(func(key idempotency.Key) []string {
		list, known := byService[key.Service]
		if !known {
			list = ownerCandidates(view, key.Service)
			byService[key.Service] = list
		}
		return h.keys.otherOwners(ownersAmong(list, key.Value, now))
	})
	byInstance := make(map[endpoint.InstanceID][]KeyRecord, len(moved))
	for name, records := range moved {
		byInstance[endpoint.InstanceID(name)] = records
	}
	return byInstance
}

// KeysHandedOver records that instance to has received records.
func (h *Handler) KeysHandedOver(records []KeyRecord, to endpoint.InstanceID) {
	h.keys.table.HandedOver(records, string(to))
}

// TakeHandoverPending reports whether an outcome that another daemon needs was stored since the
// last call, and resets the flag.
func (h *Handler) TakeHandoverPending() bool { return h.keys.handoverPending.Swap(false) }

// otherOwners returns the instances in owners other than this one.
func (k *keyOwner) otherOwners(owners []endpoint.Record) []string {
	var names []string
	for _, r := range owners {
		if r.Instance != k.handler.config.Instance {
			names = append(names, string(r.Instance))
		}
	}
	return names
}

// ownersOf returns the current and upcoming owners of key.
func (k *keyOwner) ownersOf(key idempotency.Key) []endpoint.Record {
	return Owners(k.handler.config.View(), key.Service, key.Value, k.handler.config.Now())
}

// markHandoverPending sets handoverPending if another daemon also needs the outcome of key.
func (k *keyOwner) markHandoverPending(key idempotency.Key) {
	if len(k.otherOwners(k.ownersOf(key))) > 0 {
		k.handoverPending.Store(true)
	}
}
