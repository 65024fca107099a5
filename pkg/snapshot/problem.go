package snapshot

import (
	"fmt"
	"strings"
)

// Keys of the answer files. A Problem contains the key of the answer to correct.
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

// Problem describes one violation of the validation rules.
type Problem struct {
	Service string
	// Kind is empty if the problem concerns the service as a whole.
	Kind string
	// Account is the name of the client account that the problem concerns; Service is then empty.
	Account string
	// Key is the key of the invalid answer.
	Key string
	// Reason describes the violation, Expected the accepted values.
	Reason   string
	Expected string
	// Unknown is the name or method that does not exist, if this is the violation.
	Unknown string
}

// String returns the problem as a single line.
func (p Problem) String() string {
	where := p.Service
	if p.Kind != "" {
		where += "/" + p.Kind
	}
	if p.Service == "" {
		where = fmt.Sprintf("account %.300q", p.Account)
	}
	return fmt.Sprintf("%s: %s: %s; expected %s", where, p.Key, p.Reason, p.Expected)
}

// Problems is the error returned for an invalid configuration. It holds all violations.
type Problems []Problem

// Error returns one line per problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}
