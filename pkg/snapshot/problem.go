package snapshot

import (
	"fmt"
	"strings"
)

// Keys of the answer files. Problems name them, so that a team finds the answer to revise.
const (
	KeyName        = "name"
	KeyTeam        = "team"
	KeySlots       = "capacity-slots"
	KeyConnections = "capacity-connections"
	KeyServers     = "servers"
	KeyDependsOn   = "depends-on"

	KeyMatch        = "match"
	KeyRank         = "rank"
	KeyIdempotent   = "idempotent"
	KeyDeadline     = "deadline"
	KeyExpectedRate = "expected-rate"
	KeyServiceTime  = "service-time"
	KeyWorth        = "worth"
	KeyObjective    = "objective"
	KeyCalls        = "calls"
)

// Problem is one violation of the rules that a configuration must satisfy.
type Problem struct {
	Service string
	// Kind is empty if the problem concerns the service as a whole.
	Kind string
	// Key is the key of the answer that is wrong.
	Key string
	// Reason states what is wrong, Expected what is accepted.
	Reason   string
	Expected string
	// Unknown is the word that refers to nothing, if that is the problem.
	Unknown string
}

// String returns the problem on one line.
func (p Problem) String() string {
	where := p.Service
	if p.Kind != "" {
		where += "/" + p.Kind
	}
	return fmt.Sprintf("%s: %s: %s; expected %s", where, p.Key, p.Reason, p.Expected)
}

// Problems is the error of a configuration that violates rules; it holds every violation.
type Problems []Problem

// Error implements error, a line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}
