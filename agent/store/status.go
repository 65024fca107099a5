package store

import (
	"context"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/pkg/answers"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// Status is the state of the whole configuration in the platform.
type Status struct {
	Head   Head
	Drafts []Draft
	Leases []Lease
}

// Status reads the head, the drafts and the leases.
func (c *Client) Status(ctx context.Context) (Status, error) {
	head, err := c.Head(ctx)
	if err != nil {
		return Status{}, err
	}
	rows, err := c.list(ctx, draftPartition, "", false, 0)
	if err != nil {
		return Status{}, err
	}
	leases, err := c.Leases(ctx, "")
	if err != nil {
		return Status{}, err
	}
	status := Status{Head: head, Leases: leases}
	for _, r := range rows {
		status.Drafts = append(status.Drafts, draftOf(r))
	}
	return status, nil
}

// Service is the configuration and history of one service in the platform.
type Service struct {
	// Version is the version of the head that was read.
	Version snapshot.Version
	// Revision and Config are in force; Config is nil if the service was removed.
	Revision uint64
	Config   *snapshot.Service
	// Answers is the answer file in force, empty if the service was removed.
	Answers []byte
	// Revisions lists the most recent changes, latest first.
	Revisions []Change
}

// maxShownRevisions is the maximum number of changes in Service.
const maxShownRevisions = 20

// Service reads the configuration of a service. Errors: NotFoundError if there is neither a
// configuration in force nor an earlier change, CorruptError, UnavailableError.
func (c *Client) Service(ctx context.Context, name string) (Service, error) {
	head, err := c.Head(ctx)
	if err != nil {
		return Service{}, err
	}
	found := Service{Version: head.Version}
	if found.Revisions, err = c.Revisions(ctx, name, maxShownRevisions); err != nil {
		return Service{}, err
	}
	for _, change := range found.Revisions {
		if change.Version <= head.Version {
			return c.withContent(ctx, found, change)
		}
	}
	return Service{}, &NotFoundError{What: "service " + name}
}

// withContent returns found with the content of the latest change added.
func (c *Client) withContent(ctx context.Context, found Service, latest Change) (Service, error) {
	found.Revision = latest.Revision
	if latest.Removed {
		return found, nil
	}
	objects, err := c.fetchAll(ctx, []snapshot.Hash{latest.Hash, latest.Answers})
	if err != nil {
		return Service{}, err
	}
	found.Answers = objects[latest.Answers]
	found.Config, err = snapshot.Decode(objects[latest.Hash], latest.Hash)
	return found, err
}

// Difference describes the effect of accepting the draft of a service.
type Difference struct {
	Draft Draft
	// Version is the version to pass as seen when accepting the draft.
	Version snapshot.Version
	// Lines describes the change in the terms of the answer file.
	Lines []string
	// Reasons lists why the draft would be refused; empty if it is valid.
	Reasons []string
}

// Difference compares the draft of a service with the configuration in force.
func (c *Client) Difference(ctx context.Context, name string) (Difference, error) {
	b, err := c.loadBase(ctx)
	if err != nil {
		return Difference{}, err
	}
	draft, err := c.Draft(ctx, name)
	if err != nil {
		return Difference{}, err
	}
	data, err := c.Object(ctx, draft.Hash)
	if err != nil {
		return Difference{}, err
	}
	parsed, err := parse(draft.File, data)
	if err != nil {
		return Difference{}, err
	}
	current, err := c.inForce(ctx, b, name)
	if err != nil {
		return Difference{}, err
	}
	difference := Difference{Draft: draft, Version: b.head.Version, Lines: snapshot.Diff(current, answers.Generate(parsed))}
	difference.Reasons, err = c.refusalReasons(ctx, b, draft, parsed)
	return difference, err
}

// refusalReasons returns the reasons why the draft would be refused, nil if it is valid.
func (c *Client) refusalReasons(ctx context.Context, b base, draft Draft, parsed *answers.Answers) ([]string, error) {
	updated, err := newContent(parsed)
	if err == nil {
		change := Change{Action: Accepted, Service: draft.Service, Answers: draft.Hash, Hash: updated.hash, Revision: 1}
		_, err = c.plan(ctx, b, change, updated)
	}
	var invalid *InvalidError
	if errors.As(err, &invalid) {
		return invalid.Reasons, nil
	}
	return nil, err
}

// inForce returns the configuration of a service in b, nil if b does not contain it.
func (c *Client) inForce(ctx context.Context, b base, name string) (*snapshot.Service, error) {
	entry, exists := b.entry(name)
	if !exists {
		return nil, nil
	}
	data, err := c.Object(ctx, entry.Hash)
	if err != nil {
		return nil, err
	}
	return snapshot.Decode(data, entry.Hash)
}
