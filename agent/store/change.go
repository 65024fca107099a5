package store

import (
	"context"
	"fmt"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

const tokenSort = "token"

// maxTokenBytes is the maximum length of a change token, which is part of a partition key.
const maxTokenBytes = 128

func tokenPartition(token string) string { return "token#" + token }

func revisionPartition(service string) string { return "revision#" + service }

func revisionSort(revision uint64) string { return fmt.Sprintf("%020d", revision) }

// Accept puts the draft of a service in force, on the condition that the head is at version seen
// and the draft has the hash draftHash. A repeated call with the same token returns the outcome of
// the first call. An unresolved write results in StateUnknown without an error. If an error is
// returned, this call has changed nothing. Errors: ForbiddenError, ConflictError,
// DraftChangedError, InvalidError, NoChangeError, NotFoundError, TokenReusedError,
// UnavailableError.
func (c *Client) Accept(ctx context.Context, op Operator, service string, draftHash snapshot.Hash, seen snapshot.Version, token string) (Outcome, error) {
	change := Change{Action: Accepted, Service: service, Operator: op.Name, Token: token, Answers: draftHash}
	return c.applyChange(ctx, op, change, seen, func(b base) (*plan, error) {
		return c.planAccept(ctx, b, change)
	})
}

func (c *Client) planAccept(ctx context.Context, b base, change Change) (*plan, error) {
	draft, err := c.Draft(ctx, change.Service)
	if err != nil {
		return nil, err
	}
	if draft.Hash != change.Answers {
		return nil, &DraftChangedError{Service: change.Service, Current: draft}
	}
	data, err := c.Object(ctx, draft.Hash)
	if err != nil {
		return nil, err
	}
	parsed, err := parse(draft.File, data)
	if err != nil {
		return nil, err
	}
	updated, err := newContent(parsed)
	if err != nil {
		return nil, err
	}
	change.Hash, change.File = updated.hash, draft.File
	p, err := c.planRevision(ctx, b, change, updated)
	if err != nil {
		return nil, err
	}
	p.draft = &draft
	return p, nil
}

// Withdraw restores the earlier revision to of a service, as a new version and a new revision.
// Revision 0 removes the service. Outcome and errors are as for Accept.
func (c *Client) Withdraw(ctx context.Context, op Operator, service string, to uint64, seen snapshot.Version, token string) (Outcome, error) {
	change := Change{Action: Withdrawn, Service: service, Operator: op.Name, Token: token, To: to}
	return c.applyChange(ctx, op, change, seen, func(b base) (*plan, error) {
		return c.planWithdraw(ctx, b, change, to)
	})
}

func (c *Client) planWithdraw(ctx context.Context, b base, change Change, to uint64) (*plan, error) {
	if to == 0 {
		change.Removed = true
		return c.planRevision(ctx, b, change, nil)
	}
	r, err := c.get(ctx, revisionPartition(change.Service), revisionSort(to))
	if err != nil {
		return nil, err
	}
	if r == nil {
		return nil, &NotFoundError{What: fmt.Sprintf("revision %d of %s", to, change.Service)}
	}
	earlier := changeOf(r)
	if change.Removed = earlier.Removed; change.Removed {
		return c.planRevision(ctx, b, change, nil)
	}
	change.Hash, change.Answers, change.File = earlier.Hash, earlier.Answers, earlier.File
	config, err := c.Object(ctx, change.Hash)
	if err != nil {
		return nil, err
	}
	return c.planRevision(ctx, b, change, &content{config: config, hash: change.Hash})
}

// planRevision assigns the next revision number and validates the resulting configuration.
func (c *Client) planRevision(ctx context.Context, b base, change Change, updated *content) (*plan, error) {
	entry, exists := b.entry(change.Service)
	removesNothing := updated == nil && !exists
	repeatsContent := updated != nil && exists && entry.Hash == updated.hash
	if removesNothing || repeatsContent {
		return nil, &NoChangeError{Service: change.Service}
	}
	latest, err := c.Revisions(ctx, change.Service, 1)
	if err != nil {
		return nil, err
	}
	change.Revision = 1
	if len(latest) > 0 {
		change.Revision = latest[0].Revision + 1
	}
	change.At = c.config.Now()
	return c.plan(ctx, b, change, updated)
}

// Revisions lists the changes of a service, latest first. A limit of 0 means all.
func (c *Client) Revisions(ctx context.Context, service string, limit int32) ([]Change, error) {
	rows, err := c.list(ctx, revisionPartition(service), "", true, limit)
	if err != nil {
		return nil, err
	}
	changes := make([]Change, len(rows))
	for i, r := range rows {
		changes[i] = changeOf(r)
	}
	return changes, nil
}

// applyChange carries out an Accept or a Withdraw.
func (c *Client) applyChange(ctx context.Context, op Operator, change Change, seen snapshot.Version, prepare func(base) (*plan, error)) (Outcome, error) {
	outcome := Outcome{State: StateNotAccepted, Token: change.Token, Seen: seen}
	if err := op.checkMayRevise(change.Service); err != nil {
		return outcome, err
	}
	if change.Token == "" || len(change.Token) > maxTokenBytes {
		return outcome, &InvalidError{Reasons: []string{fmt.Sprintf("a change token has 1 to %d bytes", maxTokenBytes)}}
	}
	p, err := c.prepare(ctx, seen, prepare)
	if err != nil {
		return c.checkRepetition(ctx, outcome, change, err)
	}
	for _, data := range p.objects {
		if _, err := c.putObject(ctx, data); err != nil {
			return outcome, err
		}
	}
	return c.commit(ctx, p, outcome)
}

// prepare checks that the head is at version seen and plans the change.
func (c *Client) prepare(ctx context.Context, seen snapshot.Version, prepare func(base) (*plan, error)) (*plan, error) {
	b, err := c.loadBase(ctx)
	if err != nil {
		return nil, err
	}
	if b.head.Version != seen {
		return nil, c.conflictError(ctx, seen, b.head.Version)
	}
	return prepare(b)
}

// checkRepetition reads the token before the change is refused: the request may be a repetition of
// one that was accepted and updated the head. If the token cannot be read, the state is unknown.
func (c *Client) checkRepetition(ctx context.Context, outcome Outcome, change Change, refusal error) (Outcome, error) {
	var unavailable *UnavailableError
	if errors.As(refusal, &unavailable) {
		return outcome, refusal // this call wrote nothing, and reading the token would probably fail too
	}
	earlier, found, err := c.changeByToken(ctx, change.Token)
	switch {
	case err != nil:
		outcome.State = StateUnknown
		return outcome, err
	case found:
		return c.outcomeOfRepetition(outcome, earlier, change)
	}
	return outcome, c.logRefusal(change, refusal)
}

// logRefusal logs invalid and conflicting changes and returns err.
func (c *Client) logRefusal(change Change, err error) error {
	var invalid *InvalidError
	var conflict *ConflictError
	fields := []zap.Field{zap.String("service", change.Service), zap.String("operator", change.Operator), zap.Error(err)}
	switch {
	case errors.As(err, &invalid):
		c.log.Log(event.ConfigurationInvalid, fields...)
	case errors.As(err, &conflict):
		c.log.Log(event.ConfigurationConflict, fields...)
	}
	return err
}

// outcomeOfRepetition returns the outcome of a call whose token is already in the table.
func (c *Client) outcomeOfRepetition(outcome Outcome, earlier, change Change) (Outcome, error) {
	if !earlier.sameRequest(change) {
		return outcome, &TokenReusedError{Earlier: earlier}
	}
	outcome.State, outcome.Change = StateAccepted, earlier
	return outcome, nil
}

func (c *Client) changeByToken(ctx context.Context, token string) (Change, bool, error) {
	r, err := c.get(ctx, tokenPartition(token), tokenSort)
	if err != nil || r == nil {
		return Change{}, false, err
	}
	return changeOf(r), true, nil
}

// commit updates the head and writes the rows of the change in one transaction.
func (c *Client) commit(ctx context.Context, p *plan, outcome Outcome) (Outcome, error) {
	var refusal error
	planned := p.change
	found, err := c.writeOnce(ctx, conditionalWrite{
		operation: fmt.Sprintf("%s %s", p.change.Action, p.change.Service),
		write: func(ctx context.Context) error {
			_, err := c.table.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{TransactItems: c.transaction(p)})
			return err
		},
		readBack: func(ctx context.Context, refused bool) (writeState, error) {
			var found writeState
			var err error
			found, refusal, err = c.readBack(ctx, p, refused)
			return found, err
		},
	})
	fields := []zap.Field{
		zap.String("service", p.change.Service), zap.String("operator", p.change.Operator),
		zap.Uint64("version", uint64(p.change.Version)),
	}
	switch {
	case found == applied:
		outcome.State, outcome.Change = StateAccepted, p.change
		c.log.Log(event.ConfigurationAccepted, append(fields, zap.String("action", string(p.change.Action)))...)
		// The same request may have been accepted first through another daemon, on another version.
		if p.change.sameContent(planned) {
			c.config.Committed(p.content)
		}
		return outcome, nil
	case found == unresolved:
		outcome.State = StateUnknown
		c.log.Log(event.ConfigurationUnknown, append(fields, zap.Error(err))...)
		return outcome, nil
	case err != nil:
		return outcome, err
	}
	return outcome, c.logRefusal(p.change, refusal)
}

func (c *Client) transaction(p *plan) []types.TransactWriteItem {
	revision := p.change.row(revisionPartition(p.change.Service), revisionSort(p.change.Revision))
	items := []types.TransactWriteItem{
		c.transactPut(p.head.row(), p.before.unchanged()),
		c.transactPut(p.change.row(changePartition(p.change.Version), changeSort), where(rowAbsent, nil)),
		c.transactPut(p.change.row(tokenPartition(p.change.Token), tokenSort), where(rowAbsent, nil)),
		c.transactPut(revision, where(rowAbsent, nil)),
	}
	if p.draft != nil {
		items = append(items, c.transactCheck(key(draftPartition, p.draft.Service), p.draft.unchanged()))
	}
	return items
}

// readBack looks for the change in the table. The head is read first: if it is no longer at the
// version that the change is based on and the token is still absent in a later read, the
// transaction can never take effect, because versions only increase.
func (c *Client) readBack(ctx context.Context, p *plan, refused bool) (writeState, error, error) {
	head, err := c.Head(ctx)
	if err != nil {
		return unresolved, nil, err
	}
	earlier, found, err := c.changeByToken(ctx, p.change.Token)
	switch {
	case err != nil:
		return unresolved, nil, err
	case found && earlier.sameRequest(p.change):
		p.change = earlier
		return applied, nil, nil
	case found:
		return superseded, &TokenReusedError{Earlier: earlier}, nil
	case head.Version != p.before.Version:
		return superseded, c.conflictError(ctx, p.before.Version, head.Version), nil
	case refused && p.draft != nil:
		return c.readBackDraft(ctx, *p.draft)
	}
	return unresolved, nil, nil
}

// readBackDraft checks whether the draft was replaced. If so, the change can never take effect:
// each submission has its own nonce, so the replaced draft cannot become current again.
func (c *Client) readBackDraft(ctx context.Context, accepted Draft) (writeState, error, error) {
	current, err := c.draftOrNone(ctx, accepted.Service)
	if err != nil {
		return unresolved, nil, err
	}
	if current.nonce != accepted.nonce {
		return superseded, &DraftChangedError{Service: accepted.Service, Current: current}, nil
	}
	return unresolved, nil, nil
}

// Outcome returns the outcome of the change that was requested with the token on version seen.
func (c *Client) Outcome(ctx context.Context, token string, seen snapshot.Version) (Outcome, error) {
	outcome := Outcome{State: StateUnknown, Token: token, Seen: seen}
	head, err := c.Head(ctx)
	if err != nil {
		return outcome, err
	}
	earlier, found, err := c.changeByToken(ctx, token)
	switch {
	case err != nil:
		return outcome, err
	case found:
		outcome.State, outcome.Change = StateAccepted, earlier
	case head.Version > seen:
		outcome.State = StateNotAccepted
	}
	return outcome, nil
}
