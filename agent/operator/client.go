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

// maxResponseBytes is the greatest size of a response; the endpoints of 16,000 instances are about
// 3 MB.
const maxResponseBytes = 16 << 20

// Client calls the administration API. Every daemon serves the API, so the client tries the next
// address if one does not respond. The change token makes changes idempotent, so that retrying one
// is safe.
type Client struct {
	addresses []netip.AddrPort
	token     string
	http      *http.Client
}

// NewClient returns a client that authenticates with the bearer token of an operator. The client
// uses the transport and timeout of httpClient but follows no redirects, since a redirect could
// send the token to another server.
func NewClient(addresses []netip.AddrPort, token string, httpClient *http.Client) *Client {
	noRedirects := *httpClient
	noRedirects.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{addresses: addresses, token: token, http: &noRedirects}
}

// Submit stores the answers in data as a draft; file is their name in error messages.
func (c *Client) Submit(ctx context.Context, file string, data []byte) (DraftMessage, error) {
	var response DraftMessage
	err := c.call(ctx, http.MethodPost, PathDrafts+"?"+url.Values{QueryFile: {file}}.Encode(), data, &response)
	return response, err
}

// Show returns the configuration of a service that is stored on the platform.
func (c *Client) Show(ctx context.Context, service string) (ServiceMessage, error) {
	var response ServiceMessage
	err := c.call(ctx, http.MethodGet, servicePath(PathService, service), nil, &response)
	return response, err
}

// Diff returns what accepting the draft of a service would change.
func (c *Client) Diff(ctx context.Context, service string) (DiffMessage, error) {
	var response DiffMessage
	err := c.call(ctx, http.MethodGet, servicePath(PathDiff, service), nil, &response)
	return response, err
}

// Accept puts a draft in force.
func (c *Client) Accept(ctx context.Context, service string, request AcceptRequest) (OutcomeMessage, error) {
	return c.change(ctx, servicePath(PathAccept, service), request)
}

// Withdraw puts an earlier revision in force again.
func (c *Client) Withdraw(ctx context.Context, service string, request WithdrawRequest) (OutcomeMessage, error) {
	return c.change(ctx, servicePath(PathWithdraw, service), request)
}

// Outcome returns the outcome of the change with the given token; seen is the version that the
// change was based on.
func (c *Client) Outcome(ctx context.Context, token string, seen snapshot.Version) (OutcomeMessage, error) {
	var response OutcomeMessage
	path := strings.Replace(PathChange, "{token}", url.PathEscape(token), 1)
	query := url.Values{QuerySeen: {strconv.FormatUint(uint64(seen), 10)}}
	err := c.call(ctx, http.MethodGet, path+"?"+query.Encode(), nil, &response)
	return response, err
}

// Status returns the state of the platform and of the daemon that responds.
func (c *Client) Status(ctx context.Context) (StatusMessage, error) {
	var response StatusMessage
	err := c.call(ctx, http.MethodGet, PathStatus, nil, &response)
	return response, err
}

// Daemon returns the state of the daemon that responds, which does not read from the platform for
// it.
func (c *Client) Daemon(ctx context.Context) (DaemonStatus, error) {
	var response DaemonStatus
	err := c.call(ctx, http.MethodGet, PathDaemon, nil, &response)
	return response, err
}

// Endpoints returns the endpoints known to the daemon that responds.
func (c *Client) Endpoints(ctx context.Context) (EndpointsMessage, error) {
	var response EndpointsMessage
	err := c.call(ctx, http.MethodGet, PathEndpoints, nil, &response)
	return response, err
}

// Burn returns the service-level report of the daemon that responds.
func (c *Client) Burn(ctx context.Context) (*burn.Report, error) {
	var response json.RawMessage
	if err := c.call(ctx, http.MethodGet, PathBurn, nil, &response); err != nil {
		return nil, err
	}
	return burn.Decode(response)
}

func servicePath(path, service string) string {
	return strings.Replace(path, "{service}", url.PathEscape(service), 1)
}

// UnknownOutcomeError means that a change was sent to a daemon whose response was lost, and that no
// later response determines the outcome. The change may still take effect; use Client.Outcome to
// find out.
type UnknownOutcomeError struct{ Err error }

// Error implements error.
func (e *UnknownOutcomeError) Error() string { return "the outcome is not known yet: " + e.Err.Error() }

// Unwrap returns the error of the last attempt.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// change sends a change. If the response to an attempt was lost, only success or a conflict in a
// later attempt determines the outcome: any other error applies to the later attempt and says
// nothing about the earlier one.
func (c *Client) change(ctx context.Context, path string, request any) (OutcomeMessage, error) {
	var response OutcomeMessage
	body, err := json.Marshal(request)
	if err != nil {
		return response, errors.Wrap(err, "encode the request")
	}
	responseLost, err := c.callAny(ctx, http.MethodPost, path, body, &response)
	var refusal *APIError
	settled := err == nil || errors.As(err, &refusal) && refusal.Code == CodeConflict
	if responseLost && !settled {
		return response, &UnknownOutcomeError{Err: err}
	}
	return response, err
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, into any) error {
	_, err := c.callAny(ctx, method, path, body, into)
	return err
}

// callAny tries the addresses in order until one responds. responseLost reports whether there was
// no response to a request that may have reached a daemon. The error is the *APIError that a daemon
// returned, or the error of the last address.
func (c *Client) callAny(ctx context.Context, method, path string, body []byte, into any) (responseLost bool, err error) {
	err = errors.New("no address of a daemon is set")
	for _, address := range c.addresses {
		var responded bool
		responded, err = c.callOne(ctx, method, "http://"+address.String()+path, body, into)
		responseLost = responseLost || !responded && !isDialError(err)
		if responded || ctx.Err() != nil {
			return responseLost, err
		}
	}
	return responseLost, err
}

// isDialError reports whether err shows that no connection was established, so that nothing was
// sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// callOne sends a request to one daemon. It returns true if the daemon sent a complete response, or
// if the request is invalid and another address would not help.
func (c *Client) callOne(ctx context.Context, method, target string, body []byte, into any) (bool, error) {
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
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return false, errors.Wrap(err, "read the response of the daemon")
	}
	return true, decodeResponse(response.StatusCode, data, into)
}

func decodeResponse(status int, data []byte, into any) error {
	if status < http.StatusMultipleChoices {
		return errors.Wrap(json.Unmarshal(data, into), "decode the response of the daemon")
	}
	var failure ErrorResponse
	if err := json.Unmarshal(data, &failure); err != nil || failure.Error == nil {
		return errors.Errorf("the daemon responded with status %d", status)
	}
	failure.Error.Status = status
	return failure.Error
}
