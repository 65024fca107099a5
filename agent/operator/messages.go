package operator

import (
	"fmt"
	"strings"
	"time"

	"kingcupwood.example/kingcupwood/agent/store"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// Paths of the administration API; {service} and {token} are placeholders.
const (
	PathDrafts    = "/v1/drafts"
	PathService   = "/v1/services/{service}"
	PathDiff      = "/v1/services/{service}/diff"
	PathAccept    = "/v1/services/{service}/accept"
	PathWithdraw  = "/v1/services/{service}/withdraw"
	PathChange    = "/v1/changes/{token}"
	PathStatus    = "/v1/status"
	PathDaemon    = "/v1/daemon"
	PathEndpoints = "/v1/endpoints"
	PathBurn      = "/v1/burn"
	PathVars      = "/debug/vars"
)

// Query parameters.
const (
	// QueryFile is the name of a submitted answer file, used in error messages.
	QueryFile = "file"
	// QuerySeen is the version that the requested change was based on.
	QuerySeen = "seen"
)

// DraftMessage describes a draft. Hashes are in lower-case hexadecimal.
type DraftMessage struct {
	Service   string    `json:"service"`
	File      string    `json:"file"`
	Hash      string    `json:"hash"`
	Operator  string    `json:"operator"`
	Submitted time.Time `json:"submitted"`
}

// ChangeMessage describes an accept or withdraw.
type ChangeMessage struct {
	Version  snapshot.Version `json:"version"`
	Action   string           `json:"action"`
	Service  string           `json:"service"`
	Revision uint64           `json:"revision"`
	To       uint64           `json:"to,omitempty"`
	Removed  bool             `json:"removed,omitempty"`
	Hash     string           `json:"hash,omitempty"`
	Operator string           `json:"operator"`
	At       time.Time        `json:"at"`
	// Summary describes the effect of the change in a few words.
	Summary string `json:"summary"`
}

// String returns a description of the change in one line.
func (c ChangeMessage) String() string {
	return fmt.Sprintf("version %d: %s by %s at %s", c.Version, c.Summary, c.Operator, c.At.UTC().Format(time.RFC3339))
}

// AcceptRequest is a request to put a draft in force.
type AcceptRequest struct {
	// Draft is the hash of the draft, Seen the version of the head that the operator saw.
	Draft string           `json:"draft"`
	Seen  snapshot.Version `json:"seen"`
	// Token identifies the change; a retry carries the same token.
	Token string `json:"token"`
}

// WithdrawRequest is a request to put the earlier revision To in force again; 0 removes the
// service.
type WithdrawRequest struct {
	To    uint64           `json:"to"`
	Seen  snapshot.Version `json:"seen"`
	Token string           `json:"token"`
}

// OutcomeMessage is the outcome of a change. Change is set if the state is store.StateAccepted.
type OutcomeMessage struct {
	State  store.State      `json:"state"`
	Token  string           `json:"token"`
	Seen   snapshot.Version `json:"seen"`
	Change *ChangeMessage   `json:"change,omitempty"`
}

// ServiceMessage describes the configuration of a service that is stored on the platform.
type ServiceMessage struct {
	Service   string           `json:"service"`
	Version   snapshot.Version `json:"version"`
	Revision  uint64           `json:"revision"`
	InForce   bool             `json:"in_force"`
	Answers   string           `json:"answers,omitempty"`
	Revisions []ChangeMessage  `json:"revisions"`
}

// DiffMessage describes what accepting a draft would change.
type DiffMessage struct {
	Draft DraftMessage     `json:"draft"`
	Seen  snapshot.Version `json:"seen"`
	Lines []string         `json:"lines"`
	// Reasons lists the faults for which the draft would be rejected.
	Reasons []string `json:"reasons,omitempty"`
}

// StatusMessage describes the state of the configuration on the platform and in the daemon that
// responds.
type StatusMessage struct {
	Daemon   DaemonStatus   `json:"daemon"`
	Platform PlatformStatus `json:"platform"`
}

// DaemonStatus describes the configuration of the daemon that responds.
type DaemonStatus struct {
	Version      snapshot.Version `json:"version"`
	ManifestHash string           `json:"manifest_hash,omitempty"`
	Services     int              `json:"services"`
	// Refused is the last version that this daemon rejected, if any.
	Refused *Refusal `json:"refused,omitempty"`
}

// PlatformStatus describes the head, drafts and leases on the platform; Error is set if they cannot
// be read.
type PlatformStatus struct {
	Version  snapshot.Version `json:"version"`
	Manifest string           `json:"manifest_hash,omitempty"`
	Drafts   []DraftMessage   `json:"drafts,omitempty"`
	Leases   []LeaseMessage   `json:"leases,omitempty"`
	Error    string           `json:"error,omitempty"`
}

// LeaseMessage describes a lease.
type LeaseMessage struct {
	Name    string    `json:"name"`
	Holder  string    `json:"holder"`
	Token   uint64    `json:"fencing_token"`
	Expires time.Time `json:"expires"`
}

// EndpointsMessage lists the endpoints and the unreachable failure domains known to the daemon that
// responds.
type EndpointsMessage struct {
	Endpoints   []EndpointMessage `json:"endpoints"`
	Unreachable []string          `json:"unreachable_domains"`
}

// EndpointMessage describes the endpoint of one instance.
type EndpointMessage struct {
	Instance string `json:"instance"`
	Domain   string `json:"domain"`
	Service  string `json:"service,omitempty"`
	State    string `json:"state"`
	Slots    int    `json:"slots,omitempty"`
	CallAddr string `json:"call_addr"`
	// AdminAddr is the address of the administration API of the instance.
	AdminAddr string `json:"admin_addr"`
}

// Code is the machine-readable code of an error.
type Code string

// Error codes.
const (
	CodeBadRequest          Code = "bad-request"
	CodeUnauthorized        Code = "unauthorized"
	CodeForbidden           Code = "forbidden"
	CodeNotFound            Code = "not-found"
	CodeConflict            Code = "conflict"
	CodeDraftChanged        Code = "draft-changed"
	CodeNoChange            Code = "no-change"
	CodeTokenReused         Code = "token-reused"
	CodeInvalid             Code = "invalid"
	CodeTooManyRequests     Code = "too-many-requests"
	CodePlatformUnavailable Code = "platform-unavailable"
	CodeOutcomeUnknown      Code = "outcome-unknown"
	CodeInternal            Code = "internal"
)

// ErrorResponse is the body of every error response.
type ErrorResponse struct {
	Error *APIError `json:"error"`
}

// APIError is an error of the administration API.
type APIError struct {
	Status  int    `json:"-"`
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Reasons lists the faults of an invalid configuration.
	Reasons []string `json:"reasons,omitempty"`
	// Current is the version in force and Changes the changes accepted since the version that the
	// operator saw; both are set for CodeConflict.
	Current snapshot.Version `json:"current,omitempty"`
	Changes []ChangeMessage  `json:"changes,omitempty"`
	// Draft is the draft that replaced the one that the operator saw.
	Draft *DraftMessage `json:"draft,omitempty"`
}

// Error implements error.
func (e *APIError) Error() string {
	lines := []string{e.Message}
	for _, reason := range e.Reasons {
		lines = append(lines, "  "+reason)
	}
	for _, change := range e.Changes {
		lines = append(lines, "  "+change.String())
	}
	return strings.Join(lines, "\n")
}

func draftMessage(d store.Draft) DraftMessage {
	return DraftMessage{
		Service: d.Service, File: d.File, Hash: d.Hash.String(),
		Operator: d.Operator, Submitted: d.Submitted.UTC(),
	}
}

func changeMessage(c store.Change) ChangeMessage {
	m := ChangeMessage{
		Version: c.Version, Action: string(c.Action), Service: c.Service, Revision: c.Revision,
		To: c.To, Removed: c.Removed, Operator: c.Operator, At: c.At.UTC(), Summary: c.Describe(),
	}
	if !c.Removed {
		m.Hash = c.Hash.String()
	}
	return m
}

func changeMessages(changes []store.Change) []ChangeMessage {
	list := make([]ChangeMessage, len(changes))
	for i, c := range changes {
		list[i] = changeMessage(c)
	}
	return list
}

func outcomeMessage(o store.Outcome) OutcomeMessage {
	m := OutcomeMessage{State: o.State, Token: o.Token, Seen: o.Seen}
	if o.State == store.StateAccepted {
		change := changeMessage(o.Change)
		m.Change = &change
	}
	return m
}
