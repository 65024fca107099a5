package caller

import (
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
		h.keys.noteStrayed(r.Key)
	}
	return added, nil
}

// MisplacedKeys returns the outcomes whose keys belong to other daemons by view, by the instance of
// the owner, unless they were handed over to it before.
func (h *Handler) MisplacedKeys(view *endpoint.View) map[endpoint.InstanceID][]KeyRecord {
	moved := h.keys.table.Misplaced(func(key idempotency.Key) string {
		owner, ok := Owner(view, key.Service, key.Value)
		if !ok || owner.Instance == h.config.Instance {
			return ""
		}
		return string(owner.Instance)
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

// TakeStrayed reports whether an outcome was stored under the key of another daemon since the last
// call.
func (h *Handler) TakeStrayed() bool { return h.keys.strayed.Swap(false) }

// noteStrayed notes that an outcome was stored after its key had moved to another daemon.
func (k *keyOwner) noteStrayed(key idempotency.Key) {
	owner, ok := Owner(k.handler.config.View(), key.Service, key.Value)
	if ok && owner.Instance != k.handler.config.Instance {
		k.strayed.Store(true)
	}
}
