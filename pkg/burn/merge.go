package burn

import (
	"maps"
	"slices"

	"github.com/pkg/errors"
)

// Merge returns the sum of reports without modifying them. The result does not depend on their
// order. While a changed kind is being distributed, daemons may report different objectives and
// worths for it; Merge uses the highest. It fails if there is no report or if the reports have
// different windows.
func Merge(reports ...*Report) (*Report, error) {
	if len(reports) == 0 {
		return nil, errors.New("no reports to merge")
	}
	first := reports[0]
	sum := &Report{Since: first.Since, Until: first.Until, Bucket: first.Bucket, Short: first.Short, Long: first.Long}
	kinds, points := map[mergeKey]Kind{}, map[pointKey]Point{}
	for _, r := range reports {
		if r.Bucket != sum.Bucket || r.Short != sum.Short || r.Long != sum.Long {
			return nil, errors.Errorf("reports have different windows: %s, %s, %s and %s, %s, %s",
				sum.Bucket, sum.Short, sum.Long, r.Bucket, r.Short, r.Long)
		}
		sum.Daemons += r.Daemons
		if r.Since.Before(sum.Since) {
			sum.Since = r.Since
		}
		if r.Until.After(sum.Until) {
			sum.Until = r.Until
		}
		mergeKinds(kinds, r.Kinds)
		for _, p := range r.Series {
			mergePoint(points, p)
		}
	}
	sum.Kinds = slices.Collect(maps.Values(kinds))
	sum.Series = slices.Collect(maps.Values(points))
	sum.sort()
	return sum, nil
}

type mergeKey struct {
	service, kind string
	rank          int
}

func mergeKinds(into map[mergeKey]Kind, kinds []Kind) {
	for _, k := range kinds {
		key := mergeKey{k.Service, k.Kind, k.Rank}
		if existing, ok := into[key]; ok {
			k.Objective = max(k.Objective, existing.Objective)
			k.Worth = max(k.Worth, existing.Worth)
			k.Total = k.Total.Plus(existing.Total)
			k.Short = k.Short.Plus(existing.Short)
			k.Long = k.Long.Plus(existing.Long)
		}
		into[key] = k
	}
}
