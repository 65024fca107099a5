package platform

import (
	"maps"
	"math/big"
	"slices"
	"strings"
	"sync"
)

// Names of the attributes of the table's primary key.
const (
	PartitionKey = "pk"
	SortKey      = "sk"
)

// value is an attribute value in the JSON form of the DynamoDB protocol. Only strings, numbers and
// sets of strings are supported.
type value struct {
	S  *string  `json:"S,omitempty"`
	N  *string  `json:"N,omitempty"`
	SS []string `json:"SS,omitempty"`
}

func stringValue(s string) value { return value{S: &s} }

// compare returns the order of a and b as a negative, zero or positive number. It returns false if
// their types differ or are not ordered.
func compare(a, b value) (int, bool) {
	switch {
	case a.S != nil && b.S != nil:
		return strings.Compare(*a.S, *b.S), true
	case a.N != nil && b.N != nil:
		x, okX := new(big.Int).SetString(*a.N, 10)
		y, okY := new(big.Int).SetString(*b.N, 10)
		if !okX || !okY {
			return 0, false
		}
		return x.Cmp(y), true
	}
	return 0, false
}

// item is one row of the table.
type item map[string]value

type rowKey struct{ partition, sort string }

func keyOf(attributes item) (rowKey, error) {
	partition, sort := attributes[PartitionKey], attributes[SortKey]
	if partition.S == nil || sort.S == nil {
		return rowKey{}, invalid("the key attributes %s and %s must be strings", PartitionKey, SortKey)
	}
	return rowKey{*partition.S, *sort.S}, nil
}

// write is a conditional write of one row. If apply is nil, only the condition is checked.
type write struct {
	key       rowKey
	condition condition
	apply     func(old item) item
}

// table is an in-memory table. Its mutex serialises commits, so that each one is atomic.
type table struct {
	mu   sync.Mutex
	rows map[rowKey]item
}

func newTable() *table { return &table{rows: map[rowKey]item{}} }

func (t *table) get(key rowKey) (item, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[key]
	return maps.Clone(row), ok
}

// commit applies all writes if every condition is satisfied, otherwise none. It returns nil on
// success, otherwise for each write whether its condition failed.
func (t *table) commit(writes []write) []bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	failed := make([]bool, len(writes))
	for i, w := range writes {
		failed[i] = w.condition != nil && !w.condition(t.rows[w.key])
	}
	if slices.Contains(failed, true) {
		return failed
	}
	for _, w := range writes {
		if w.apply != nil {
			t.rows[w.key] = w.apply(t.rows[w.key])
		}
	}
	return nil
}

// query returns the rows that match, sorted by the sort key. A limit of zero or less means no limit.
func (t *table) query(match condition, descending bool, limit int) []item {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []item
	for _, row := range t.rows {
		if match(row) {
			found = append(found, maps.Clone(row))
		}
	}
	slices.SortFunc(found, func(a, b item) int {
		order := strings.Compare(*a[SortKey].S, *b[SortKey].S)
		if descending {
			return -order
		}
		return order
	})
	if limit > 0 && len(found) > limit {
		found = found[:limit]
	}
	return found
}
