package platform

import (
	"context"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// Status is what the platform knows about the configuration as a whole.
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

// Service is the configuration of one service as the platform has it.
type Service struct {
	// Version is the version of the head that was read.
	Version snapshot.Version
	// Revision and Config are those in force; Config is nil if none is.
	Revision uint64
	Config   *snapshot.Service
	// Answers is the text in force, empty if none is.
	Answers []byte
	// Revisions lists the latest changes, latest first.
	Revisions []Change
}

// maxShownRevisions bounds the changes that Service lists.
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
			return c.fill(ctx, found, change)
		}
	}
	return Service{}, &NotFoundError{What: "service " + name}
}

// fill adds the content of the latest change.
func (c *Client) fill(ctx context.Context, found Service, latest Change) (Service, error) {
	found.Revision = latest.Revision
	if latest.Removed {
		return found, nil
	}
	objects, err := c.fetchAll(ctx, []snapshot.Hash{latest.Hash, latest.Answers})
	if err != nil {
		return Service{}, err
	}
	found.Answers = objects[latest.Answers]
	found.Config, err = c.config.Generator.Decode(objects[latest.Hash], latest.Hash)
	return found, err
}

// Difference describes what accepting the draft of a service would change.
type Difference struct {
	Draft Draft
	// Version is the version to name as seen when accepting.
	Version snapshot.Version
	Lines   []string
}

// Difference compares the draft of a service with the configuration in force.
func (c *Client) Difference(ctx context.Context, name string) (Difference, error) {
	head, err := c.Head(ctx)
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
	proposed, err := c.parse(draft.File, data)
	if err != nil {
		return Difference{}, err
	}
	current, err := c.inForce(ctx, head, name)
	if err != nil {
		return Difference{}, err
	}
	return Difference{Draft: draft, Version: head.Version, Lines: c.config.Generator.Diff(current, proposed)}, nil
}

// inForce returns the configuration of a service in the version of head, nil if it has none.
func (c *Client) inForce(ctx context.Context, head Head, name string) (*snapshot.Service, error) {
	if head.Version == 0 {
		return nil, nil
	}
	manifest, err := c.Manifest(ctx, head.Manifest)
	if err != nil {
		return nil, err
	}
	entry, exists := base{manifest: *manifest}.entry(name)
	if !exists {
		return nil, nil
	}
	data, err := c.Object(ctx, entry.Hash)
	if err != nil {
		return nil, err
	}
	return c.config.Generator.Decode(data, entry.Hash)
}
