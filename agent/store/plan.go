package store

import (
	"context"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/pkg/answers"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// base is the configuration that a change is applied to. It is not validated as a whole, so that an
// invalid version that was accepted by mistake can still be repaired by a change.
type base struct {
	head     Head
	manifest snapshot.Manifest
}

// content is the new configuration of one service.
type content struct {
	// answers is nil if the configuration is that of an earlier revision.
	answers *answers.Answers
	config  []byte
	hash    snapshot.Hash
}

// plan is a validated change with all objects that must be stored before the head is updated.
type plan struct {
	before  Head
	head    Head
	change  Change
	objects [][]byte
	content Content
	// draft is the draft that the change accepts, nil for a withdraw.
	draft *Draft
}

// newContent generates the service configuration from parsed answers and encodes it.
func newContent(parsed *answers.Answers) (*content, error) {
	config, hash, err := snapshot.Encode(answers.Generate(parsed))
	if err != nil {
		return nil, invalidError(err)
	}
	return &content{answers: parsed, config: config, hash: hash}, nil
}

// loadBase reads the head and the manifest of the configuration in force. The manifest is read from
// the object store only if the local snapshot has a different one.
func (c *Client) loadBase(ctx context.Context) (base, error) {
	head, err := c.Head(ctx)
	if err != nil || head.Version == 0 {
		return base{head: head}, err
	}
	if local := c.config.Local(); local != nil && local.ManifestHash == head.Manifest {
		return base{head: head, manifest: local.Manifest}, nil
	}
	manifest, err := c.Manifest(ctx, head.Manifest)
	if err != nil {
		return base{}, err
	}
	return base{head: head, manifest: *manifest}, nil
}

// entry returns the manifest entry of a service.
func (b base) entry(service string) (snapshot.ManifestEntry, bool) {
	for _, e := range b.manifest.Entries {
		if e.Service == service {
			return e, true
		}
	}
	return snapshot.ManifestEntry{}, false
}

// plan validates the whole configuration with the change applied; a nil content removes the
// service. It writes nothing.
func (c *Client) plan(ctx context.Context, b base, change Change, updated *content) (*plan, error) {
	others := slices.DeleteFunc(slices.Clone(b.manifest.Entries),
		func(e snapshot.ManifestEntry) bool { return e.Service == change.Service })
	objects, err := c.services(ctx, others)
	if err != nil {
		return nil, err
	}
	manifest := snapshot.Manifest{Version: b.head.Version + 1, Entries: others}
	p := &plan{before: b.head, change: change}
	if updated != nil {
		entry := snapshot.ManifestEntry{Service: change.Service, Revision: change.Revision, Hash: updated.hash}
		manifest.Entries = append(slices.Clone(others), entry)
		slices.SortFunc(manifest.Entries, func(x, y snapshot.ManifestEntry) int { return strings.Compare(x.Service, y.Service) })
		objects[updated.hash] = updated.config
		p.objects = append(p.objects, updated.config)
	}
	if _, err := snapshot.Build(&manifest, objects); err != nil {
		return nil, validationError(err, others, objects, updated)
	}
	encoded, hash, err := snapshot.EncodeManifest(&manifest)
	if err != nil {
		return nil, errors.Wrap(err, "encode the manifest")
	}
	p.objects = append(p.objects, encoded)
	p.content = Content{Manifest: manifest, Hash: hash, Objects: objects}
	p.change.Version = manifest.Version
	p.head = Head{Version: manifest.Version, Manifest: hash, Token: change.Token}
	return p, nil
}

// services returns the encoded services of the entries. Those in the local snapshot are not read
// from the object store: an accept on a daemon with an empty cache would otherwise read 1,400
// objects.
func (c *Client) services(ctx context.Context, entries []snapshot.ManifestEntry) (map[snapshot.Hash][]byte, error) {
	local := map[snapshot.Hash][]byte{}
	var absent []snapshot.Hash
	current := c.config.Local()
	for _, e := range entries {
		if data, ok := encodeLocal(current, e); ok {
			local[e.Hash] = data
		} else {
			absent = append(absent, e.Hash)
		}
	}
	objects, err := c.fetchAll(ctx, absent)
	if err != nil {
		return nil, err
	}
	for h, data := range local {
		objects[h] = data
	}
	return objects, nil
}

// encodeLocal returns the encoded service of entry e if s contains it. s may be nil.
func encodeLocal(s *snapshot.Snapshot, e snapshot.ManifestEntry) ([]byte, bool) {
	if s == nil || s.Services[e.Service] == nil {
		return nil, false
	}
	data, hash, err := snapshot.Encode(s.Services[e.Service])
	return data, err == nil && hash == e.Hash
}

// validationError returns the reasons why a configuration is invalid. A fault in the new answers is
// reported with file and line.
func validationError(err error, others []snapshot.ManifestEntry, objects map[snapshot.Hash][]byte, updated *content) error {
	var problems snapshot.Problems
	if !errors.As(err, &problems) {
		return errors.Wrap(err, "build the new version")
	}
	var all []*answers.Answers
	if updated != nil && updated.answers != nil {
		all = append(all, updated.answers)
	}
	for _, e := range others {
		if s, err := snapshot.Decode(objects[e.Hash], e.Hash); err == nil {
			all = append(all, &answers.Answers{File: e.Service, Service: *s})
		}
	}
	if faults := answers.Check(all); len(faults) > 0 {
		return invalidError(faults)
	}
	return invalidError(problems)
}
