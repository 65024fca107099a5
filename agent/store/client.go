package store

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// Defaults of Config. The timeout of an attempt is far shorter than the time that an operator is
// prepared to wait, because the platform may be slow for long periods and a retry often succeeds.
const (
	DefaultTimeout     = time.Second
	DefaultAttempts    = 4
	DefaultBackoff     = 50 * time.Millisecond
	DefaultBackoffMax  = time.Second
	maxConnections     = 16
	idleConnectionTime = 30 * time.Second
)

// Config configures a Client. Zero durations and counts take the defaults.
type Config struct {
	// TableURL and ObjectsURL are the base URLs of the stores, such as http://127.0.0.1:7000.
	TableURL, ObjectsURL string
	Region               string
	Table, Bucket        string
	AccessKey, SecretKey string
	// Timeout limits one attempt, Attempts the number of attempts of an operation.
	Timeout  time.Duration
	Attempts int
	// Backoff is the upper limit of the first random retry delay; it doubles up to BackoffMax.
	Backoff, BackoffMax time.Duration
	// Local returns the snapshot in use by the daemon, or nil. Services in it are not read from the
	// object store.
	Local func() *snapshot.Snapshot
	// Committed is called with each version that this client has accepted or withdrawn, before the
	// call returns; it may be nil. It receives the content so that the daemon need not read the object
	// store, which may be unavailable by then. Calls may be concurrent.
	Committed func(Content)
	// Dial opens the connections to the platform; nil means the default of net/http.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Now and Rand are overridden in tests. Rand returns a number in [0, n).
	Now  func() time.Time
	Rand func(n int64) int64
}

func (c *Config) setDefaults() {
	if c.Region == "" {
		c.Region = "local"
	}
	if c.Timeout == 0 {
		c.Timeout = DefaultTimeout
	}
	if c.Attempts == 0 {
		c.Attempts = DefaultAttempts
	}
	if c.Backoff == 0 {
		c.Backoff = DefaultBackoff
	}
	if c.BackoffMax == 0 {
		c.BackoffMax = DefaultBackoffMax
	}
	if c.Local == nil {
		c.Local = func() *snapshot.Snapshot { return nil }
	}
	if c.Committed == nil {
		c.Committed = func(Content) {}
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Rand == nil {
		c.Rand = rand.Int64N
	}
}

// Client is a client of the platform. It is safe for concurrent use.
type Client struct {
	config    Config
	log       *event.Logger
	transport *http.Transport
	table     *dynamodb.Client
	objects   *s3.Client
	cache     objectCache
}

// NewClient returns a client; it does not contact the platform. Close releases its connections.
func NewClient(config Config, log *event.Logger) (*Client, error) {
	if config.TableURL == "" || config.ObjectsURL == "" || config.Table == "" || config.Bucket == "" {
		return nil, errors.New("the platform needs the URLs of both stores, a table and a bucket")
	}
	config.setDefaults()
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxConnections,
		MaxConnsPerHost:     maxConnections,
		IdleConnTimeout:     idleConnectionTime,
		DialContext:         config.Dial,
		DisableCompression:  true,
	}
	httpClient := &http.Client{Transport: transport}
	keys := credentials.NewStaticCredentialsProvider(config.AccessKey, config.SecretKey, "")
	return &Client{
		config:    config,
		log:       log,
		transport: transport,
		table: dynamodb.New(dynamodb.Options{
			Region: config.Region, BaseEndpoint: aws.String(config.TableURL), Credentials: keys,
			HTTPClient: httpClient, Retryer: aws.NopRetryer{}, APIOptions: optionalHeaders,
		}),
		objects: s3.New(s3.Options{
			Region: config.Region, BaseEndpoint: aws.String(config.ObjectsURL), Credentials: keys,
			HTTPClient: httpClient, Retryer: aws.NopRetryer{}, UsePathStyle: true, APIOptions: optionalHeaders,
			RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
			ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
		}),
	}, nil
}

// Close closes the idle connections of the client.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// attempt runs call once with the timeout of an attempt.
func (c *Client) attempt(ctx context.Context, call func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	return call(ctx)
}

// backOff waits after attempt n, counted from 0, with exponential backoff and full jitter. It
// returns false if ctx ends first.
func (c *Client) backOff(ctx context.Context, n int) bool {
	limit := min(c.config.BackoffMax, c.config.Backoff<<min(n, 16))
	timer := time.NewTimer(time.Duration(c.config.Rand(int64(limit) + 1)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
