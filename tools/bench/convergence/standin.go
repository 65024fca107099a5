package convergence

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
	standin "kingcupwood.example/kingcupwood/standin/platform"
	"kingcupwood.example/kingcupwood/tools/fleet"
)

// preloadWrites bounds the concurrent writes of a preload.
const preloadWrites = 16

// platformStandin calls the stand-in for the platform directly. It verifies no signatures.
type platformStandin struct{ addr netip.AddrPort }

func (p platformStandin) call(ctx context.Context, method, path, target string, body []byte, reply any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.addr.String()+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "request to the platform stand-in")
	}
	if target != "" {
		req.Header.Set("X-Amz-Target", target)
	}
	resp, err := fleet.HTTP.Do(req)
	if err != nil {
		return errors.Wrap(err, "platform stand-in")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "platform stand-in")
	}
	if resp.StatusCode/100 != 2 {
		return errors.Errorf("platform stand-in: %s %s: status %d: %s", method, path, resp.StatusCode, data)
	}
	if reply == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(data, reply), "reply of the platform stand-in")
}

// preload writes s as the version in force. Accepting 1,400 services one after the other would
// validate the whole configuration as often and take minutes.
func (p platformStandin) preload(ctx context.Context, s *snapshot.Snapshot, objects map[snapshot.Hash][]byte) error {
	manifest, hash, err := snapshot.EncodeManifest(&s.Manifest)
	if err != nil {
		return err
	}
	if err := p.putObject(ctx, hash, manifest); err != nil {
		return err
	}
	g, gctx := errgroup.WithContext(ctx)
	g.SetLimit(preloadWrites)
	for h, data := range objects {
		g.Go(func() error { return p.putObject(gctx, h, data) })
	}
	if err := g.Wait(); err != nil {
		return err
	}
	text := func(s string) map[string]string { return map[string]string{"S": s} }
	item, err := json.Marshal(map[string]any{"TableName": standin.DefaultTable, "Item": map[string]any{
		standin.PartitionKey: text("head"), standin.SortKey: text("head"),
		"version":  map[string]string{"N": strconv.FormatUint(uint64(s.Version), 10)},
		"manifest": text(hash.String()), "token": text("preload"),
	}})
	if err != nil {
		return errors.Wrap(err, "encode the head")
	}
	return p.call(ctx, http.MethodPost, "/", "DynamoDB_20120810.PutItem", item, nil)
}

func (p platformStandin) putObject(ctx context.Context, h snapshot.Hash, data []byte) error {
	return p.call(ctx, http.MethodPut, fmt.Sprintf("/%s/objects/%s", standin.DefaultBucket, h), "", data, nil)
}

// requests is the number of reads and writes that both stores have received.
type requests struct{ reads, writes uint64 }

func (p platformStandin) requests(ctx context.Context) (requests, error) {
	var counts map[standin.Store]standin.Counts
	err := p.call(ctx, http.MethodGet, standin.CountersPath, "", nil, &counts)
	var sum requests
	for _, c := range counts {
		sum.reads += c.Reads
		sum.writes += c.Writes
	}
	return sum, err
}

// inject adds a fault to both stores.
func (p platformStandin) inject(ctx context.Context, fault standin.Fault) error {
	for _, store := range []standin.Store{standin.Table, standin.Objects} {
		fault.Store = store
		body, err := json.Marshal(fault)
		if err != nil {
			return errors.Wrap(err, "encode fault")
		}
		if err := p.call(ctx, http.MethodPost, standin.FaultsPath, "", body, nil); err != nil {
			return err
		}
	}
	return nil
}

func (p platformStandin) clear(ctx context.Context) error {
	return p.call(ctx, http.MethodDelete, standin.FaultsPath, "", nil, nil)
}
