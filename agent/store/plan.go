package store

import (
	"context"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/pkg/answers"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// base is the configuration on which a change builds. It is not validated as a whole: if an invalid
// version ever got through, a change that repairs it must still be possible.
type base struct {
	head     Head
	manifest snapshot.Manifest
}

// content is the new configuration of one service.
type content struct {
	// answers is nil if the configuration comes from an earlier revision.
	answers *answers.Answers
	config  []byte
	hash    snapshot.Hash
}

// plan is a validated change with all objects that must exist before the head moves.
type plan struct {
	before  Head
	head    Head
	change  Change
	objects [][]byte
	content Content
	// draft is the draft that the change accepts, nil for a withdraw.
	draft *Draft
}

// newContent encodes the configuration that parsed answers describe.
func newContent(parsed *answers.Answers) (*content, error) {
	config, hash, err := snapshot.Encode(answers.Generate(parsed))
	if err != nil {
		return nil, invalidError(err)
	}
	return &content{answers: parsed, config: config, hash: hash}, nil
}

// load reads the configuration in force. The manifest is read only if the daemon has another one.
func (c *Client) load(ctx context.Context) (base, error) {
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

// entry returns the manifest entry of a service in the configuration in force.
func (b base) entry(service string) (snapshot.ManifestEntry, bool) {
	for _, e := range b.manifest.Entries {
		if e.Service == service {
			return e, true
		}
	}
	return snapshot.ManifestEntry{}, false
}

// plan validates the whole configuration with the change applied; a nil content removes the service.
// Nothing is written.
func (c *Client) plan(ctx context.Context, b base, change Change, with *content) (*plan, error) {
	others := slices.DeleteFunc(slices.Clone(b.manifest.Entries),
		func(e snapshot.ManifestEntry) bool { return e.Service == change.Service })
	objects, err := c.services(ctx, others)
	if err != nil {
		return nil, err
	}
	manifest := snapshot.Manifest{Version: b.head.Version + 1, Entries: others}
	p := &plan{before: b.head, change: change}
	if with != nil {
		entry := snapshot.ManifestEntry{Service: change.Service, Revision: change.Revision, Hash: with.hash}
		manifest.Entries = append(slices.Clone(others), entry)
		slices.SortFunc(manifest.Entries, func(x, y snapshot.ManifestEntry) int { return strings.Compare(x.Service, y.Service) })
		objects[with.hash] = with.config
		p.objects = append(p.objects, with.config)
	}
	if _, err := snapshot.Build(&manifest, objects); err != nil {
		return nil, refusal(err, others, objects, with)
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

// services returns the encoded services of the entries. Those that the daemon has in force are not
// read: an accept on a daemon with an empty cache would otherwise read 1,400 objects.
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

// encodeLocal returns the encoding of the service of entry e if s holds it. s may be nil.
func encodeLocal(s *snapshot.Snapshot, e snapshot.ManifestEntry) ([]byte, bool) {
	if s == nil || s.Services[e.Service] == nil {
		return nil, false
	}
	data, hash, err := snapshot.Encode(s.Services[e.Service])
	return data, err == nil && hash == e.Hash
}

// refusal states why a configuration is invalid, by file and line of the new answers where the fault
// lies there.
func refusal(err error, others []snapshot.ManifestEntry, objects map[snapshot.Hash][]byte, with *content) error {
	var problems snapshot.Problems
	if !errors.As(err, &problems) {
		return errors.Wrap(err, "build the new version")
	}
	var all []*answers.Answers
	if with != nil && with.answers != nil {
		all = append(all, with.answers)
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
