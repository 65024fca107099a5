package call

import (
	"bytes"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/pkg/fence"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

// requestHeader and responseHeader are the CBOR headers of the frames. They are encoded as arrays
// and hold the HTTP header as a flat list of names and values, because the codec would allocate for
// each entry of a map.
type requestHeader struct {
	_             struct{} `cbor:",toarray"`
	Sender, Seq   uint64
	Service, Kind string
	Version       uint64
	TimeoutMicros int64
	Depth         int
	Method        string
	Target        string
	Host          string
	Header        []string
	Nested        bool
	Rank          int
	AimMicros     int64
	Patience      int64 // microseconds
	Idempotent    bool
}

// headerAccount is the name under which Request.Account travels, as the last entry of the list of HTTP
// headers. A decoder rejects an array with another number of elements, so that a daemon of an earlier
// release could not read a frame with a further one. This header is never a caller's: daemons of all
// releases remove it from requests of callers and do not send it to backend servers.
const headerAccount = "Proxy-Authorization"

// headerForServer is the name under which Request.ForServer travels, behind the account, for the same reasons.
const headerForServer = "Proxy-Authenticate"

type responseHeader struct {
	_                struct{} `cbor:",toarray"`
	Sender, Seq      uint64
	Verdict          uint8
	Draining         bool
	Reason           string
	RetryAfterMicros int64
	Load             float64
	Status           int
	Header           []string
	WorkMicros       int64
	Offered          bool
}

// maxArrayElements limits the names and values of an HTTP header. Each one takes at least one byte of
// the encoded header, whose length is checked before.
const maxArrayElements = MaxHeaderBytes

var encMode, decMode = newModes()

func newModes() (cbor.UserBufferEncMode, cbor.DecMode) {
	enc, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	dec, err := cbor.DecOptions{
		MaxNestedLevels: 4, MaxArrayElements: maxArrayElements, MaxMapPairs: 16,
		UTF8: cbor.UTF8DecodeInvalid, // values of HTTP headers are bytes of any encoding
	}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return enc, dec
}

// headerScratch holds the frame headers of a connection. They are reused from call to call to avoid
// allocating them and the slices for the HTTP header each time.
type headerScratch struct {
	request  requestHeader
	response responseHeader
}

func (s *headerScratch) encodeRequest(buf *bytes.Buffer, r *Request) error {
	s.request = requestHeader{
		Sender: r.Attempt.Sender, Seq: r.Attempt.Seq,
		Service: r.Service, Kind: r.Kind, Version: r.Version,
		TimeoutMicros: r.Timeout.Microseconds(), Depth: r.Depth,
		Method: r.Method, Target: r.Target, Host: r.Host,
		Header: flatten(s.request.Header[:0], r.Header), Nested: r.Nested,
		Rank: r.Rank, AimMicros: r.TimeToTarget.Microseconds(), Patience: r.MaxQueueTime.Microseconds(), Idempotent: r.Idempotent,
	}
	if r.Account != "" || r.Header[headerAccount] != nil {
		s.request.Header = append(s.request.Header, headerAccount, r.Account)
	}
	if r.ForServer || r.Header[headerForServer] != nil {
		s.request.Header = append(s.request.Header, headerForServer, strconv.FormatBool(r.ForServer))
	}
	return encMode.MarshalToBuffer(&s.request, buf)
}

func (s *headerScratch) decodeRequest(data []byte) (*Request, error) {
	h := &s.request
	if err := decMode.Unmarshal(data, h); err != nil {
		return nil, errors.Wrap(ErrProtocol, err.Error())
	}
	if h.TimeoutMicros < 0 || h.TimeoutMicros > maxMicros || h.Depth < 0 {
		return nil, errors.Wrap(ErrProtocol, "timeout or depth out of range")
	}
	list, forServer := cutLast(h.Header, headerForServer)
	list, account := cutLast(list, headerAccount)
	header, err := unflatten(list)
	if err != nil {
		return nil, err
	}
	return &Request{
		Attempt: fence.AttemptID{Sender: h.Sender, Seq: h.Seq},
		Service: h.Service, Kind: h.Kind, Version: h.Version,
		Timeout: fromMicros(h.TimeoutMicros), Depth: h.Depth,
		Method: h.Method, Target: h.Target, Host: h.Host, Header: header, Nested: h.Nested,
		Rank: h.Rank, TimeToTarget: fromMicros(h.AimMicros),
		MaxQueueTime: fromMicros(max(h.Patience, 0)), Idempotent: h.Idempotent, Account: account,
		ForServer: forServer == strconv.FormatBool(true),
	}, nil
}

// cutLast returns list without its last entry if that has the given name, and the value of the entry.
func cutLast(list []string, name string) ([]string, string) {
	if last := len(list) - 2; last >= 0 && list[last] == name {
		return list[:last], list[last+1]
	}
	return list, ""
}

func (s *headerScratch) encodeResponse(buf *bytes.Buffer, r *Response) error {
	s.response = responseHeader{
		Sender: r.Attempt.Sender, Seq: r.Attempt.Seq,
		Verdict: uint8(r.Verdict), Draining: r.Draining, Reason: r.Reason,
		RetryAfterMicros: r.RetryAfter.Microseconds(), Load: r.Load,
		Status: r.Status, Header: flatten(s.response.Header[:0], r.Header),
		WorkMicros: r.Work.Microseconds(), Offered: r.Offered,
	}
	return encMode.MarshalToBuffer(&s.response, buf)
}

func (s *headerScratch) decodeResponse(data []byte) (*Response, error) {
	h := &s.response
	if err := decMode.Unmarshal(data, h); err != nil {
		return nil, errors.Wrap(ErrProtocol, err.Error())
	}
	if h.Verdict > uint8(verdict.Ran) || h.RetryAfterMicros < 0 {
		return nil, errors.Wrap(ErrProtocol, "verdict or retry time out of range")
	}
	if !h.hasValidStatus() {
		return nil, errors.Wrapf(ErrProtocol, "status %d", h.Status)
	}
	if math.IsNaN(h.Load) || math.IsInf(h.Load, 0) {
		h.Load = noLoad
	}
	header, err := unflatten(h.Header)
	if err != nil {
		return nil, err
	}
	return &Response{
		Attempt: fence.AttemptID{Sender: h.Sender, Seq: h.Seq},
		Verdict: verdict.Verdict(h.Verdict), Draining: h.Draining, Reason: h.Reason,
		RetryAfter: fromMicros(h.RetryAfterMicros), Load: h.Load,
		Status: h.Status, Header: header,
		Work: fromMicros(max(h.WorkMicros, 0)), Offered: h.Offered,
	}, nil
}

const (
	// maxMicros is the largest number of microseconds that a time.Duration holds.
	maxMicros = math.MaxInt64 / int64(time.Microsecond)
	// maxStatus is the largest status that HTTP gives a meaning; net/http writes and reads up to 999.
	maxStatus = 599
	// noLoad stands for a load that was not reported.
	noLoad = -1
)

// fromMicros converts a number of another daemon, which is limited so that it does not overflow.
func fromMicros(micros int64) time.Duration {
	return time.Duration(max(min(micros, maxMicros), -maxMicros)) * time.Microsecond
}

// flatten appends the entries of h to list as alternating names and values.
func flatten(list []string, h http.Header) []string {
	for name, values := range h {
		for _, value := range values {
			list = append(list, name, value)
		}
	}
	return list
}

// unflatten is the inverse of flatten. The first values of all names share one backing array to
// save allocations.
func unflatten(list []string) (http.Header, error) {
	if len(list)%2 != 0 {
		return nil, errors.Wrap(ErrProtocol, "header name without a value")
	}
	h := make(http.Header, len(list)/2)
	values := make([]string, len(list)/2)
	for i := 0; i < len(list); i += 2 {
		name := list[i]
		if existing, ok := h[name]; ok {
			h[name] = append(existing, list[i+1])
			continue
		}
		values[0] = list[i+1]
		h[name] = values[:1:1]
		values = values[1:]
	}
	return h, nil
}

// IsFinalStatus reports whether status is one of a final HTTP response; no other one may reach a caller.
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// IsRefusalStatus reports whether status can be that of a refusal or of a reported failure. One of a success
// or a redirection would tell the caller that its request was answered.
func IsRefusalStatus(status int) bool {
	return status >= http.StatusBadRequest && status <= maxStatus
}

// hasValidStatus reports whether the status fits the verdict. A refusal may have none.
func (h *responseHeader) hasValidStatus() bool {
	switch refused := verdict.Verdict(h.Verdict) == verdict.NotRun || h.Reason != ""; {
	case h.Status == 0:
		return refused || verdict.Verdict(h.Verdict) != verdict.Ran
	case refused:
		return IsRefusalStatus(h.Status)
	}
	return IsFinalStatus(h.Status)
}
