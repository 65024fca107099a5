package store

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"sync"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/smithy-go"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

const (
	// maxObjectBytes is the maximum size of an object. A manifest of 1,400 services is about 100 KB.
	maxObjectBytes = 4 << 20
	// maxCachedBytes is the maximum size of the cache. The answers and the configuration of 1,400
	// services are under 1 KB each, about 3 MB in total.
	maxCachedBytes = 8 << 20
	// maxCachedObjectBytes excludes manifests from the cache, because each is used only once.
	maxCachedObjectBytes = 16 << 10
	// fetchConcurrency is the maximum number of parallel reads of one operation.
	fetchConcurrency = 8
)

func objectKey(h snapshot.Hash) string { return "objects/" + h.String() }

// objectCache caches small objects. They are immutable, so an entry never becomes stale.
type objectCache struct {
	mu    sync.Mutex
	data  map[snapshot.Hash][]byte
	bytes int
}

func (c *objectCache) get(h snapshot.Hash) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	data, ok := c.data[h]
	return data, ok
}

// add empties the cache when the limit is reached; refilling it takes one read for each service.
func (c *objectCache) add(h snapshot.Hash, data []byte) {
	if len(data) > maxCachedObjectBytes {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.data == nil || c.bytes+len(data) > maxCachedBytes {
		c.data, c.bytes = map[snapshot.Hash][]byte{}, 0
	}
	if _, exists := c.data[h]; !exists {
		c.data[h] = data
		c.bytes += len(data)
	}
}

// Object returns the object with hash h. Errors: NotFoundError, CorruptError, UnavailableError. The
// caller must not modify the bytes.
func (c *Client) Object(ctx context.Context, h snapshot.Hash) ([]byte, error) {
	if data, ok := c.cache.get(h); ok {
		return data, nil
	}
	var data []byte
	err := c.retry(ctx, "read object", func(ctx context.Context) error {
		var err error
		data, err = c.fetch(ctx, objectKey(h))
		return err
	})
	var api smithy.APIError
	if errors.As(err, &api) && api.ErrorCode() == "NoSuchKey" {
		return nil, &NotFoundError{What: objectKey(h)}
	}
	if err != nil {
		return nil, err
	}
	if sha256.Sum256(data) != h {
		return nil, &CorruptError{Key: objectKey(h)}
	}
	c.cache.add(h, data)
	return data, nil
}

func (c *Client) fetch(ctx context.Context, name string) ([]byte, error) {
	out, err := c.objects.GetObject(ctx, &s3.GetObjectInput{Bucket: &c.config.Bucket, Key: &name})
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(out.Body, maxObjectBytes+1))
	if err == nil && len(data) > maxObjectBytes {
		return nil, &CorruptError{Key: name}
	}
	return data, err
}

// putObject stores data under its hash. The write is idempotent, because the key is the hash of the
// content; an existing object is not overwritten.
func (c *Client) putObject(ctx context.Context, data []byte) (snapshot.Hash, error) {
	h := snapshot.Hash(sha256.Sum256(data))
	name := objectKey(h)
	err := c.retry(ctx, "write object", func(ctx context.Context) error {
		_, err := c.objects.PutObject(ctx, &s3.PutObjectInput{
			Bucket: &c.config.Bucket, Key: &name, Body: bytes.NewReader(data), IfNoneMatch: aws.String("*"),
		})
		if classify(err) == conditionFailed {
			return nil
		}
		return err
	})
	if err != nil {
		return h, err
	}
	c.cache.add(h, data)
	return h, nil
}

// fetchAll reads objects in parallel.
func (c *Client) fetchAll(ctx context.Context, hashes []snapshot.Hash) (map[snapshot.Hash][]byte, error) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(fetchConcurrency)
	found := make([][]byte, len(hashes))
	for i, h := range hashes {
		group.Go(func() (err error) {
			found[i], err = c.Object(ctx, h)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	objects := make(map[snapshot.Hash][]byte, len(hashes))
	for i, h := range hashes {
		objects[h] = found[i]
	}
	return objects, nil
}
