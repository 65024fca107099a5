package store

import (
	"context"
	"crypto/rand"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/pkg/answers"
)

// MaxAnswersBytes is the maximum size of an answer file.
const MaxAnswersBytes = 64 << 10

const draftPartition = "draft"

// Draft reads the draft of a service. Errors: NotFoundError, UnavailableError.
func (c *Client) Draft(ctx context.Context, service string) (Draft, error) {
	r, err := c.get(ctx, draftPartition, service)
	if err != nil {
		return Draft{}, err
	}
	if r == nil {
		return Draft{}, &NotFoundError{What: "a draft of " + service}
	}
	return draftOf(r), nil
}

func draftOf(r row) Draft {
	return Draft{
		Service: r.text(sortKey), File: r.text("file"), Hash: r.hash("hash"),
		Operator: r.text("operator"), Submitted: r.time("at"), nonce: r.text("nonce"),
	}
}

func (d Draft) row() row {
	r := key(draftPartition, d.Service)
	r["file"], r["hash"], r["operator"] = text(d.File), hashText(d.Hash), text(d.Operator)
	r["at"], r["nonce"] = milliseconds(d.Submitted), text(d.nonce)
	return r
}

// unchanged returns the condition that the stored draft is still d; for the zero Draft, that there
// is none.
func (d Draft) unchanged() clause {
	if d.nonce == "" {
		return where(rowAbsent, nil)
	}
	return where("#nonce = :nonce", row{":nonce": text(d.nonce)})
}

// Submit stores answers as the draft of their service. Errors: InvalidError, ForbiddenError,
// DraftChangedError if another draft was submitted concurrently, UnavailableError.
func (c *Client) Submit(ctx context.Context, op Operator, file string, data []byte) (Draft, error) {
	parsed, err := parse(file, data)
	if err != nil {
		return Draft{}, err
	}
	service := parsed.Service.Name
	if err := op.checkMayRevise(service); err != nil {
		return Draft{}, err
	}
	previous, err := c.draftOrNone(ctx, service)
	if err != nil {
		return Draft{}, err
	}
	hash, err := c.putObject(ctx, data)
	if err != nil {
		return Draft{}, err
	}
	draft := Draft{
		Service: service, File: file, Hash: hash, Operator: op.Name,
		Submitted: c.config.Now(), nonce: rand.Text(),
	}
	return draft, c.replaceDraft(ctx, previous, draft)
}

// parse checks the size of an answer file and parses it.
func parse(file string, data []byte) (*answers.Answers, error) {
	if len(data) > MaxAnswersBytes {
		return nil, &InvalidError{Reasons: []string{file + ": the file is larger than 64 KiB"}}
	}
	parsed, faults := answers.Parse(file, data)
	if len(faults) > 0 {
		return nil, invalidError(faults)
	}
	return parsed, nil
}

// draftOrNone returns the zero Draft if the service has none.
func (c *Client) draftOrNone(ctx context.Context, service string) (Draft, error) {
	draft, err := c.Draft(ctx, service)
	var none *NotFoundError
	if errors.As(err, &none) {
		return Draft{}, nil
	}
	return draft, err
}

// replaceDraft writes draft on the condition that the stored draft is still previous.
func (c *Client) replaceDraft(ctx context.Context, previous, draft Draft) error {
	var current Draft
	found, err := c.writeOnce(ctx, conditionalWrite{
		operation: "submit " + draft.Service,
		write: func(ctx context.Context) error {
			return c.put(ctx, draft.row(), previous.unchanged())
		},
		readBack: func(ctx context.Context, _ bool) (writeState, error) {
			var err error
			current, err = c.draftOrNone(ctx, draft.Service)
			switch {
			case err != nil:
				return unresolved, err
			case current.nonce == draft.nonce:
				return applied, nil
			case current.nonce != previous.nonce:
				return superseded, nil
			}
			return unresolved, nil
		},
	})
	if err == nil && found == superseded {
		return &DraftChangedError{Service: draft.Service, Current: current}
	}
	return err
}
