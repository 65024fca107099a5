package caller

import (
	"slices"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/idempotency"
)

// ExportKeys returns the outcomes of the keys that this daemon holds.
func (h *Handler) ExportKeys() []KeyRecord { return h.keys.table.Export() }

// CloseKeys ends the ownership of keys at a graceful stop and returns their outcomes. Keyed requests
// and handovers that arrive later are refused.
func (h *Handler) CloseKeys() []KeyRecord { return h.keys.table.Close() }

// ImportKeys adds outcomes which their previous owner has handed over. It returns how many were new,
// or idempotency.ErrClosed if this daemon has handed over its own.
func (h *Handler) ImportKeys(records []KeyRecord) (int, error) {
	added, err := h.keys.table.Import(records)
	if err != nil {
		return 0, err
	}
	for _, r := range records {
		self := func(owner endpoint.Record) bool { return owner.Instance == h.config.Instance }
		if !slices.ContainsFunc(h.keys.ownersOf(r.Key), self) {
			h.keys.strayed.Store(true)
		}
	}
	return added, nil
}

// MisplacedKeys returns the outcomes that other daemons need as owners by view, by their instance,
// unless they were handed over to it before.
func (h *Handler) MisplacedKeys(view *endpoint.View) map[endpoint.InstanceID][]KeyRecord {
	now, byService := h.config.Now(), map[string][]endpoint.Record{}
	moved := h.keys.table.Misplaced(func(key idempotency.Key) []string {
		list, known := byService[key.Service]
		if !known {
			list = mayOwn(view, key.Service)
			byService[key.Service] = list
		}
		return h.keys.namesOfOthers(ownersAmong(list, key.Value, now))
	})
	byInstance := make(map[endpoint.InstanceID][]KeyRecord, len(moved))
	for name, records := range moved {
		byInstance[endpoint.InstanceID(name)] = records
	}
	return byInstance
}

// KeysHandedOver records that the daemon of instance to has taken records over.
func (h *Handler) KeysHandedOver(records []KeyRecord, to endpoint.InstanceID) {
	h.keys.table.HandedOver(records, string(to))
}

// TakeHandoverPending reports whether an outcome that another daemon needs was stored since the last call.
func (h *Handler) TakeHandoverPending() bool { return h.keys.strayed.Swap(false) }

// namesOfOthers returns the instances of owners without this daemon.
func (k *keyOwner) namesOfOthers(owners []endpoint.Record) []string {
	var names []string
	for _, r := range owners {
		if r.Instance != k.handler.config.Instance {
			names = append(names, string(r.Instance))
		}
	}
	return names
}

// ownersOf returns the daemons that own key now or soon.
func (k *keyOwner) ownersOf(key idempotency.Key) []endpoint.Record {
	return Owners(k.handler.config.View(), key.Service, key.Value, k.handler.config.Now())
}

// noteStrayed notes that an outcome was stored which another daemon needs, too.
func (k *keyOwner) noteStrayed(key idempotency.Key) {
	if len(k.namesOfOthers(k.ownersOf(key))) > 0 {
		k.strayed.Store(true)
	}
}
