package snapshot

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Diff describes the effect of a revision on the callers of a service, one line per change, in the
// terms of the answer files. A nil service means that the service does not exist.
func Diff(old, new *Service) []string {
	switch {
	case old == nil && new == nil:
		return nil
	case old == nil:
		return append([]string{fmt.Sprintf("service %s is new, run by team %s on %d servers", new.Name, new.Team, new.Servers)},
			diffKinds(&Service{}, new)...)
	case new == nil:
		return []string{fmt.Sprintf("service %s is removed, callers get 404 for all its kinds", old.Name)}
	}
	return append(diffService(old, new), diffKinds(old, new)...)
}

func diffService(old, new *Service) []string {
	var lines []string
	addIf := func(changed bool, format string, args ...any) {
		if changed {
			lines = append(lines, fmt.Sprintf(format, args...))
		}
	}
	addIf(old.Name != new.Name, "service: name is now %s (was %s)", new.Name, old.Name)
	addIf(old.Team != new.Team, "service: responsible team is now %s (was %s)", new.Team, old.Team)
	addIf(old.Slots != new.Slots, "service: a server now runs %d requests at a time (was %d)", new.Slots, old.Slots)
	addIf(old.Connections != new.Connections, "service: a server now accepts %d connections (was %d)", new.Connections, old.Connections)
	addIf(old.Servers != new.Servers, "service: %d servers are now planned (was %d)", new.Servers, old.Servers)
	for _, name := range missingFrom(new.DependsOn, old.DependsOn) {
		lines = append(lines, "service: now depends on "+name)
	}
	for _, name := range missingFrom(old.DependsOn, new.DependsOn) {
		lines = append(lines, "service: no longer depends on "+name)
	}
	return lines
}

// missingFrom returns the items of list that are not in other, in the order of list.
func missingFrom(list, other []string) []string {
	var missing []string
	for _, item := range list {
		if !slices.Contains(other, item) {
			missing = append(missing, item)
		}
	}
	return missing
}

func diffKinds(old, new *Service) []string {
	var lines []string
	for i := range new.Kinds {
		k := &new.Kinds[i]
		if before := old.Kind(k.Name); before != nil {
			lines = append(lines, diffKind(before, k)...)
			continue
		}
		lines = append(lines, fmt.Sprintf("%s: new kind for %s, rank %d, deadline %s, %s",
			k.Name, k.Match(), k.Rank, k.Deadline, retryRule(k)))
	}
	for i := range old.Kinds {
		k := &old.Kinds[i]
		if new.Kind(k.Name) == nil {
			lines = append(lines, fmt.Sprintf("%s: kind removed, %s", k.Name, describeRemoval(new, k)))
		}
	}
	return lines
}

// describeRemoval describes how requests of a removed kind are handled by s.
func describeRemoval(s *Service, removed *Kind) string {
	next := newKindTable(s).match(removed.Method, removed.PathPrefix)
	if next == nil {
		return fmt.Sprintf("callers of %s get 404 unless a longer path matches another kind", removed.Match())
	}
	return fmt.Sprintf("%s is now handled as %s", removed.Match(), next.Name)
}

func retryRule(k *Kind) string {
	if k.Idempotent {
		return "idempotent, so it may be retried after any failure"
	}
	return "not idempotent, so it is retried only if it provably did not run"
}

func diffKind(old, new *Kind) []string {
	var lines []string
	addIf := func(changed bool, format string, args ...any) {
		if changed {
			lines = append(lines, new.Name+": "+fmt.Sprintf(format, args...))
		}
	}
	addIf(old.Match() != new.Match(), "now handles %s (was %s)", new.Match(), old.Match())
	addIf(old.Rank < new.Rank, "is now less urgent, rank %d (was %d)", new.Rank, old.Rank)
	addIf(old.Rank > new.Rank, "is now more urgent, rank %d (was %d)", new.Rank, old.Rank)
	addIf(old.Idempotent != new.Idempotent, "is now %s", retryRule(new))
	addIf(old.Deadline < new.Deadline, "callers now wait up to %s (was %s)", new.Deadline, old.Deadline)
	addIf(old.Deadline > new.Deadline, "callers now get an error after %s (was %s)", new.Deadline, old.Deadline)
	addIf(old.ExpectedRate != new.ExpectedRate, "protected up to %s now (was %s); requests above that are served last under load",
		FormatRate(new.ExpectedRate), FormatRate(old.ExpectedRate))
	addIf(old.ServiceTime != new.ServiceTime, "expected to take %s in a slot (was %s)", new.ServiceTime, old.ServiceTime)
	addIf(old.Worth != new.Worth, "counts as worth %d in reports (was %d)", new.Worth, old.Worth)
	addIf(old.Objective != new.Objective, "%s must be good and in time (was %s)", FormatShare(new.Objective), FormatShare(old.Objective))
	addIf(!slices.Equal(old.Calls, new.Calls), "now calls %s (was %s)", listOrNone(new.Calls), listOrNone(old.Calls))
	return lines
}

func listOrNone(list []string) string {
	if len(list) == 0 {
		return "nothing"
	}
	return strings.Join(list, ", ")
}

// FormatRate formats a rate in requests per second in the notation of answer files.
func FormatRate(perSecond float64) string {
	return strconv.FormatFloat(perSecond, 'g', 6, 64) + "/s"
}

// FormatShare formats a fraction between 0 and 1 as a percentage in the notation of answer files.
func FormatShare(share float64) string {
	return strconv.FormatFloat(share*100, 'g', 8, 64) + "%"
}
