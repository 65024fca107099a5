package answers

import (
	"regexp"
	"strconv"
	"strings"
	"time"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// field describes a key: how its value is parsed and what a fault reports as expected.
type field struct {
	key      string
	optional bool
	expected string
	// candidates are the valid words of the value. A fault suggests the nearest one.
	candidates []string
	// set parses and stores the value. It returns false if the value is invalid.
	set func(raw string) bool
}

const (
	expectedDuration = "a duration with a unit (us, ms, s or m), such as 800ms"
	expectedRate     = "a rate with a unit (/s, /min or /h), such as 40/s"
	expectedShare    = "a share in percent, such as 99.9%"
	expectedNumber   = "a whole number"
	expectedName     = "a name"
	expectedMatch    = "a method and a path prefix, such as POST /pages/, or only a path prefix"
)

var (
	durationUnits  = []string{"ns", "us", "ms", "s", "m", "h"}
	rateUnits      = []string{"s", "min", "h"}
	secondsPerUnit = map[string]float64{"s": 1, "min": 60, "h": 3600}
	boolValues     = map[string]bool{"yes": true, "no": false}

	decimal    = regexp.MustCompile(`^[0-9]{1,12}(\.[0-9]{1,9})?$`)
	unitSuffix = regexp.MustCompile(`[A-Za-z]+$`)
)

func serviceFields(s *snapshot.Service) []field {
	return []field{
		{key: snapshot.KeyName, expected: expectedName, set: setName(&s.Name)},
		{key: snapshot.KeyTeam, expected: expectedName, set: setName(&s.Team)},
		{key: snapshot.KeySlots, expected: expectedNumber, set: setInt(&s.Slots)},
		{key: snapshot.KeyConnections, expected: expectedNumber, set: setInt(&s.Connections)},
		{key: snapshot.KeyServers, expected: expectedNumber, set: setInt(&s.Servers)},
		{key: snapshot.KeyDependsOn, optional: true, expected: "names of services, separated by commas", set: setList(&s.DependsOn)},
	}
}

func kindFields(k *snapshot.Kind) []field {
	return []field{
		{key: snapshot.KeyMatch, expected: expectedMatch, candidates: snapshot.Methods, set: setMatch(k)},
		{key: snapshot.KeyRank, expected: expectedNumber, set: setInt(&k.Rank)},
		{key: snapshot.KeyIdempotent, expected: "yes or no", candidates: []string{"yes", "no"}, set: setBool(&k.Idempotent)},
		{key: snapshot.KeyDeadline, expected: expectedDuration, candidates: durationUnits, set: setDuration(&k.Deadline)},
		{key: snapshot.KeyExpectedRate, expected: expectedRate, candidates: rateUnits, set: setRate(&k.ExpectedRate)},
		{key: snapshot.KeyServiceTime, expected: expectedDuration, candidates: durationUnits, set: setDuration(&k.ServiceTime)},
		{key: snapshot.KeyWorth, optional: true, expected: expectedNumber, set: setInt(&k.Worth)},
		{key: snapshot.KeyObjective, expected: expectedShare, set: setShare(&k.Objective)},
		{key: snapshot.KeyCalls, optional: true, expected: "kinds as service/kind, separated by commas", set: setList(&k.Calls)},
	}
}

func fieldKeys(fields []field) []string {
	keys := make([]string, len(fields))
	for i, f := range fields {
		keys[i] = f.key
	}
	return keys
}

// suggestion returns the valid word nearest to the word or unit in raw, or "" if none is similar.
func (f field) suggestion(raw string) string {
	if len(f.candidates) == 0 || raw == "" {
		return ""
	}
	if f.expected == expectedDuration || f.expected == expectedRate {
		// All letters may differ, because units are so short that a longer spelling such as "msec"
		// differs from them in most letters.
		unit := unitSuffix.FindString(raw)
		return nearestWithin(strings.ToLower(unit), f.candidates, len(unit))
	}
	word, _, _ := strings.Cut(raw, " ")
	if suggestion := nearest(strings.ToLower(word), f.candidates); suggestion != "" {
		return suggestion
	}
	return nearest(strings.ToUpper(word), f.candidates)
}

func setName(into *string) func(string) bool {
	return func(raw string) bool {
		*into = raw
		return raw != "" && !strings.ContainsAny(raw, " \t")
	}
}

func setInt(into *int) func(string) bool {
	return func(raw string) bool {
		value, err := strconv.Atoi(raw)
		if err != nil || strings.HasPrefix(raw, "+") {
			return false
		}
		*into = value
		return true
	}
}

func setBool(into *bool) func(string) bool {
	return func(raw string) (ok bool) {
		*into, ok = boolValues[raw]
		return ok
	}
}

func setDuration(into *time.Duration) func(string) bool {
	return func(raw string) bool {
		value, err := time.ParseDuration(raw)
		// ParseDuration accepts 0 without a unit, which would hide that the unit is missing.
		if err != nil || unitSuffix.FindString(raw) == "" {
			return false
		}
		*into = value
		return true
	}
}

func setRate(into *float64) func(string) bool {
	return func(raw string) bool {
		number, unit, _ := strings.Cut(raw, "/")
		number, unit = strings.TrimSpace(number), strings.TrimSpace(unit)
		seconds, ok := secondsPerUnit[unit]
		if !ok || !decimal.MatchString(number) {
			return false
		}
		value, err := strconv.ParseFloat(number, 64)
		*into = value / seconds
		return err == nil
	}
}

// setShare converts percent with an exponent in the text, because dividing the float 99.9 by 100
// does not give the float nearest to 0.999.
func setShare(into *float64) func(string) bool {
	return func(raw string) bool {
		number, ok := strings.CutSuffix(raw, "%")
		number = strings.TrimSpace(number)
		if !ok || !decimal.MatchString(number) {
			return false
		}
		value, err := strconv.ParseFloat(number+"e-2", 64)
		*into = value
		return err == nil
	}
}

func setMatch(k *snapshot.Kind) func(string) bool {
	return func(raw string) bool {
		parts := strings.Fields(raw)
		switch {
		case len(parts) == 1 && strings.HasPrefix(parts[0], "/"):
			k.PathPrefix = parts[0]
		case len(parts) == 2:
			k.Method, k.PathPrefix = parts[0], parts[1]
		default:
			return false
		}
		return true
	}
}

func setList(into *[]string) func(string) bool {
	return func(raw string) bool {
		if raw == "" {
			return true
		}
		for item := range strings.SplitSeq(raw, ",") {
			item = strings.TrimSpace(item)
			if item == "" || strings.ContainsAny(item, " \t") {
				return false
			}
			*into = append(*into, item)
		}
		return true
	}
}
