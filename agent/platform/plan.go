package platform

import (
	"context"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/pkg/answers"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// source names the answers from which the configuration of a service comes.
type source struct {
	Service string        `cbor:"1,keyasint"`
	File    string        `cbor:"2,keyasint"`
	Answers snapshot.Hash `cbor:"3,keyasint"`
}

// base is the configuration on which a change builds.
type base struct {
	head     Head
	manifest snapshot.Manifest
	sources  []source
}

// content is the new configuration of one service; nil removes the service.
type content struct {
	file    string
	answers []byte
	config  []byte
	hash    snapshot.Hash
}

// plan is a validated change with all objects that must exist before the head moves.
type plan struct {
	before  Head
	head    Head
	change  Change
	objects [][]byte
	// draft is the draft that the change accepts, nil for a withdraw.
	draft *Draft
}

// newContent encodes a service for its place in a plan.
func newContent(file string, data []byte, service *snapshot.Service) (*content, error) {
	config, hash, err := snapshot.Encode(service)
	if err != nil {
		return nil, invalidError(err)
	}
	return &content{file: file, answers: data, config: config, hash: hash}, nil
}

// load reads the configuration in force.
func (c *Client) load(ctx context.Context) (base, error) {
	head, err := c.Head(ctx)
	if err != nil {
		return base{}, err
	}
	b := base{head: head}
	if head.Version == 0 {
		return b, nil
	}
	manifest, err := c.Manifest(ctx, head.Manifest)
	if err != nil {
		return base{}, err
	}
	b.manifest = *manifest
	data, err := c.Object(ctx, head.Sources)
	if err != nil {
		return base{}, err
	}
	return b, errors.Wrap(cbor.Unmarshal(data, &b.sources), "decode the list of answers")
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

// plan validates the whole configuration with the change applied. Nothing is written.
func (c *Client) plan(ctx context.Context, b base, change Change, with *content) (*plan, error) {
	p := &plan{before: b.head, change: change}
	manifest := snapshot.Manifest{Version: b.head.Version + 1}
	manifest.Entries = slices.DeleteFunc(slices.Clone(b.manifest.Entries),
		func(e snapshot.ManifestEntry) bool { return e.Service == change.Service })
	sources := slices.DeleteFunc(slices.Clone(b.sources),
		func(s source) bool { return s.Service == change.Service })
	if with != nil {
		manifest.Entries = append(manifest.Entries,
			snapshot.ManifestEntry{Service: change.Service, Revision: change.Revision, Hash: with.hash})
		sources = append(sources, source{Service: change.Service, File: with.file, Answers: change.Answers})
		p.objects = append(p.objects, with.answers, with.config)
	}
	slices.SortFunc(manifest.Entries, func(x, y snapshot.ManifestEntry) int { return strings.Compare(x.Service, y.Service) })
	slices.SortFunc(sources, func(x, y source) int { return strings.Compare(x.Service, y.Service) })
	if err := c.checkAnswers(ctx, sources, change, with); err != nil {
		return nil, err
	}
	if err := c.checkSnapshot(ctx, &manifest, change, with); err != nil {
		return nil, err
	}
	return p, c.finish(p, &manifest, sources)
}

// checkAnswers applies the rules that concern several services.
func (c *Client) checkAnswers(ctx context.Context, sources []source, change Change, with *content) error {
	var hashes []snapshot.Hash
	for _, s := range sources {
		if s.Service != change.Service {
			hashes = append(hashes, s.Answers)
		}
	}
	files, err := c.fetchAll(ctx, hashes)
	if err != nil {
		return err
	}
	var all []*answers.Answers
	for _, s := range sources {
		data := files[s.Answers]
		if s.Service == change.Service {
			data = with.answers
		}
		parsed, faults := answers.Parse(s.File, data)
		if len(faults) > 0 {
			return invalidError(faults)
		}
		all = append(all, parsed)
	}
	if faults := answers.Check(all); len(faults) > 0 {
		return invalidError(faults)
	}
	return nil
}

// checkSnapshot builds the snapshot as every daemon will.
func (c *Client) checkSnapshot(ctx context.Context, m *snapshot.Manifest, change Change, with *content) error {
	var hashes []snapshot.Hash
	for _, e := range m.Entries {
		if e.Service != change.Service {
			hashes = append(hashes, e.Hash)
		}
	}
	objects, err := c.fetchAll(ctx, hashes)
	if err != nil {
		return err
	}
	if with != nil {
		objects[with.hash] = with.config
	}
	if _, err := snapshot.Build(m, objects); err != nil {
		return invalidError(err)
	}
	return nil
}

// finish encodes the manifest and the list of answers.
func (c *Client) finish(p *plan, m *snapshot.Manifest, sources []source) error {
	manifest, manifestHash, err := snapshot.EncodeManifest(m)
	if err != nil {
		return errors.Wrap(err, "encode the manifest")
	}
	list, err := cbor.Marshal(sources)
	if err != nil {
		return errors.Wrap(err, "encode the list of answers")
	}
	p.objects = append(p.objects, list, manifest)
	p.change.Version = m.Version
	p.head = Head{Version: m.Version, Manifest: manifestHash, Sources: snapshot.HashOf(list), Token: p.change.Token}
	return nil
}
