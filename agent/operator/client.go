package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/pkg/burn"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// maxReplyBytes bounds a reply of the API; the endpoints of 16,000 instances are about 3 MB.
const maxReplyBytes = 16 << 20

// Client calls the administration API. Any daemon serves it, so that the client goes on to the next
// address if one does not answer; a change token makes the repetition of a change harmless.
type Client struct {
	addresses []netip.AddrPort
	token     string
	http      *http.Client
}

// NewClient returns a client with the bearer token of an operator. The client uses httpClient with
// its timeout, but follows no redirects, which could carry the token elsewhere.
func NewClient(addresses []netip.AddrPort, token string, httpClient *http.Client) *Client {
	own := *httpClient
	own.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{addresses: addresses, token: token, http: &own}
}

// Submit stores answers as a draft.
func (c *Client) Submit(ctx context.Context, file string, data []byte) (DraftMessage, error) {
	var reply DraftMessage
	err := c.call(ctx, http.MethodPost, PathDrafts+"?"+url.Values{QueryFile: {file}}.Encode(), data, &reply)
	return reply, err
}

// Show returns a service as the platform has it.
func (c *Client) Show(ctx context.Context, service string) (ServiceMessage, error) {
	var reply ServiceMessage
	err := c.call(ctx, http.MethodGet, servicePath(PathService, service), nil, &reply)
	return reply, err
}

// Diff returns what accepting the draft of a service would change.
func (c *Client) Diff(ctx context.Context, service string) (DiffMessage, error) {
	var reply DiffMessage
	err := c.call(ctx, http.MethodGet, servicePath(PathDiff, service), nil, &reply)
	return reply, err
}

// Accept puts a draft in force.
func (c *Client) Accept(ctx context.Context, service string, request AcceptRequest) (OutcomeMessage, error) {
	return c.change(ctx, servicePath(PathAccept, service), request)
}

// Withdraw puts an earlier revision in force again.
func (c *Client) Withdraw(ctx context.Context, service string, request WithdrawRequest) (OutcomeMessage, error) {
	return c.change(ctx, servicePath(PathWithdraw, service), request)
}

// Outcome asks what became of a change that was made on version seen.
func (c *Client) Outcome(ctx context.Context, token string, seen snapshot.Version) (OutcomeMessage, error) {
	var reply OutcomeMessage
	path := strings.Replace(PathChange, "{token}", url.PathEscape(token), 1)
	query := url.Values{QuerySeen: {strconv.FormatUint(uint64(seen), 10)}}
	err := c.call(ctx, http.MethodGet, path+"?"+query.Encode(), nil, &reply)
	return reply, err
}

// Status returns the state of the platform and of the daemon that answers.
func (c *Client) Status(ctx context.Context) (StatusMessage, error) {
	var reply StatusMessage
	err := c.call(ctx, http.MethodGet, PathStatus, nil, &reply)
	return reply, err
}

// Daemon returns the state of the daemon that answers, without a read from the platform.
func (c *Client) Daemon(ctx context.Context) (DaemonStatus, error) {
	var reply DaemonStatus
	err := c.call(ctx, http.MethodGet, PathDaemon, nil, &reply)
	return reply, err
}

// Endpoints returns the endpoints that the daemon which answers knows.
func (c *Client) Endpoints(ctx context.Context) (EndpointsMessage, error) {
	var reply EndpointsMessage
	err := c.call(ctx, http.MethodGet, PathEndpoints, nil, &reply)
	return reply, err
}

// Burn returns the service-level report of the daemon that answers.
func (c *Client) Burn(ctx context.Context) (*burn.Report, error) {
	var reply json.RawMessage
	if err := c.call(ctx, http.MethodGet, PathBurn, nil, &reply); err != nil {
		return nil, err
	}
	return burn.Decode(reply)
}

func servicePath(path, service string) string {
	return strings.Replace(path, "{service}", url.PathEscape(service), 1)
}

// UnknownOutcomeError means that a change was sent to a daemon whose answer was lost, and that no later
// answer settles its outcome. The change may still take effect; Outcome tells.
type UnknownOutcomeError struct{ Err error }

// Error implements error.
func (e *UnknownOutcomeError) Error() string { return "the outcome is not known yet: " + e.Err.Error() }

// Unwrap returns the last error.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// change sends a change. After a lost answer, only an acceptance or a conflict settles the outcome:
// any other refusal concerns the repetition, not the request that was sent before it.
func (c *Client) change(ctx context.Context, path string, request any) (OutcomeMessage, error) {
	var reply OutcomeMessage
	body, err := json.Marshal(request)
	if err != nil {
		return reply, errors.Wrap(err, "encode the request")
	}
	lost, err := c.callAny(ctx, http.MethodPost, path, body, &reply)
	var refusal *APIError
	settled := err == nil || errors.As(err, &refusal) && refusal.Code == CodeConflict
	if lost && !settled {
		return reply, &UnknownOutcomeError{Err: err}
	}
	return reply, err
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, reply any) error {
	_, err := c.callAny(ctx, method, path, body, reply)
	return err
}

// callAny tries the addresses in turn until one answers. It reports whether the answer to a request
// that may have arrived was lost. Errors: *APIError as answered by a daemon, or the error of the last
// address.
func (c *Client) callAny(ctx context.Context, method, path string, body []byte, reply any) (lost bool, err error) {
	err = errors.New("no address of a daemon is set")
	for _, address := range c.addresses {
		var answered bool
		answered, err = c.callOne(ctx, method, "http://"+address.String()+path, body, reply)
		lost = lost || !answered && !isDialError(err)
		if answered || ctx.Err() != nil {
			return lost, err
		}
	}
	return lost, err
}

// isDialError reports whether err proves that no connection was made, so nothing was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// callOne reports whether the daemon answered in full.
func (c *Client) callOne(ctx context.Context, method, target string, body []byte, reply any) (bool, error) {
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return true, errors.Wrap(err, "build the request")
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	response, err := c.http.Do(request)
	if err != nil {
		return false, errors.Wrap(err, "call the daemon")
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return false, errors.Wrap(err, "read the reply of the daemon")
	}
	return true, decodeReply(response.StatusCode, data, reply)
}

func decodeReply(status int, data []byte, reply any) error {
	if status < http.StatusMultipleChoices {
		return errors.Wrap(json.Unmarshal(data, reply), "decode the reply of the daemon")
	}
	var failure ErrorResponse
	if err := json.Unmarshal(data, &failure); err != nil || failure.Error == nil {
		return errors.Errorf("the daemon answered with status %d", status)
	}
	failure.Error.Status = status
	return failure.Error
}
