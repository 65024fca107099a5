package store

import (
	"context"
	"fmt"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// MaxConflictChanges is the maximum number of changes in a ConflictError.
const MaxConflictChanges = 10

const (
	headPartition = "head"
	headSort      = "head"
)

// Head reads the head with strong consistency. Before the first accept it returns the zero Head.
func (c *Client) Head(ctx context.Context) (Head, error) {
	r, err := c.get(ctx, headPartition, headSort)
	if err != nil {
		return Head{}, err
	}
	return Head{
		Version:  snapshot.Version(r.number("version")),
		Manifest: r.hash("manifest"),
		Token:    r.text("token"),
	}, nil
}

func (h Head) row() row {
	r := key(headPartition, headSort)
	r["version"] = number(uint64(h.Version))
	r["manifest"], r["token"] = hashText(h.Manifest), text(h.Token)
	return r
}

// unchanged returns the condition that the stored head is still h.
func (h Head) unchanged() clause {
	if h.Version == 0 {
		return where(rowAbsent, nil)
	}
	return where("#version = :version AND #manifest = :manifest",
		row{":version": number(uint64(h.Version)), ":manifest": hashText(h.Manifest)})
}

// Manifest reads the manifest with hash h.
func (c *Client) Manifest(ctx context.Context, h snapshot.Hash) (*snapshot.Manifest, error) {
	data, err := c.Object(ctx, h)
	if err != nil {
		return nil, err
	}
	return snapshot.DecodeManifest(data, h)
}

func changePartition(v snapshot.Version) string { return fmt.Sprintf("change#%d", v) }

const changeSort = "change"

// row encodes the change as a row with the given key.
func (ch Change) row(partition, sort string) row {
	r := key(partition, sort)
	r["version"] = number(uint64(ch.Version))
	r["action"], r["service"] = text(string(ch.Action)), text(ch.Service)
	r["revision"] = number(ch.Revision)
	if !ch.Removed {
		r["hash"], r["answers"], r["file"] = hashText(ch.Hash), hashText(ch.Answers), text(ch.File)
	}
	r["to"] = number(ch.To)
	r["operator"], r["token"], r["at"] = text(ch.Operator), text(ch.Token), milliseconds(ch.At)
	return r
}

func changeOf(r row) Change {
	_, exists := r["hash"]
	return Change{
		Version:  snapshot.Version(r.number("version")),
		Action:   Action(r.text("action")),
		Service:  r.text("service"),
		Revision: r.number("revision"),
		Removed:  !exists,
		Hash:     r.hash("hash"),
		To:       r.number("to"),
		Answers:  r.hash("answers"),
		File:     r.text("file"),
		Operator: r.text("operator"),
		Token:    r.text("token"),
		At:       r.time("at"),
	}
}

// Change reads the change that produced version v.
func (c *Client) Change(ctx context.Context, v snapshot.Version) (Change, error) {
	r, err := c.get(ctx, changePartition(v), changeSort)
	if err != nil {
		return Change{}, err
	}
	if r == nil {
		return Change{}, &NotFoundError{What: fmt.Sprintf("version %d", v)}
	}
	return changeOf(r), nil
}

// conflictError returns a ConflictError with the latest changes accepted after seen.
func (c *Client) conflictError(ctx context.Context, seen, current snapshot.Version) error {
	e := &ConflictError{Seen: seen, Current: current}
	first := seen + 1
	if current > MaxConflictChanges {
		first = max(first, current-MaxConflictChanges+1)
	}
	for v := first; v <= current; v++ {
		change, err := c.Change(ctx, v)
		if err != nil {
			break // report the conflict without the remaining changes
		}
		e.Changes = append(e.Changes, change)
	}
	return e
}
