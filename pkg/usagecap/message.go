package usagecap

import (
	"math"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Status is the outcome of a query.
type Status uint8

// The outcomes of a query.
const (
	// Granted means that the reply lends at least one token.
	Granted Status = iota + 1
	// OverCap means that there is no token; RetryMS says when there will be one.
	OverCap
	// NotOwner means that the receiver does not own the account or may not lend yet.
	NotOwner
)

// Query asks the owner of an account for tokens.
type Query struct {
	_       struct{} `cbor:",toarray"`
	Account string
	Rate    float64
	Burst   int
	Version uint64
	// Seq identifies the query at its sender.
	Seq  uint64
	Want uint32
	// Returned is the number of unused tokens that the owner lent in its lifetime Lifetime.
	Returned uint32
	Lifetime uint64
	// Overdrawn is the number of requests that the borrower let pass while the owner did not reply.
	Overdrawn uint32
}

// Limit returns the cap as known to the sender.
func (q *Query) Limit() Limit { return Limit{Rate: q.Rate, Burst: q.Burst, Version: q.Version} }

// Reply answers a Query.
type Reply struct {
	_       struct{} `cbor:",toarray"`
	Account string
	Seq     uint64
	Status  Status
	Granted uint32
	// ExpiresMS is the lifetime of the lent tokens, from the time at which the query was sent.
	ExpiresMS uint32
	// RetryMS is the time after which the owner expects a token for this borrower.
	RetryMS uint32
	// Lifetime identifies the lifetime of the owner's ledger.
	Lifetime uint64
	// Level is the percentage of the owner's bucket that is left.
	Level uint8
}

// Message is the content of a datagram. Either list may be empty.
type Message struct {
	_ struct{} `cbor:",toarray"`
	// Sender is the instance of the sender.
	Sender  string
	Queries []Query
	Replies []Reply
}

const (
	// MaxMessageBytes leaves room in a datagram of 1,200 bytes for authentication.
	MaxMessageBytes = 1100
	maxNameBytes    = 512
	// maxCount bounds the numbers of tokens in a message.
	maxCount = 1 << 24
)

// prefix is a CBOR tag that begins each message. Membership messages begin with an array; daemons that do not know
// the tag count the packet as malformed.
var prefix = []byte{0xd9, 0x4b, 0x55}

// IsMessage reports whether data is a message of this package.
func IsMessage(data []byte) bool {
	return len(data) > len(prefix) && data[0] == prefix[0] && data[1] == prefix[1] && data[2] == prefix[2]
}

var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1024, MaxMapPairs: 16, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// Encode returns the datagram of m.
func Encode(m *Message) []byte {
	data, err := cbor.Marshal(m)
	if err != nil {
		panic(err) // only types without custom encoders are encoded
	}
	return append(append(make([]byte, 0, len(prefix)+len(data)), prefix...), data...)
}

// Decode returns the message of a datagram, or an error if it is malformed.
func Decode(data []byte) (*Message, error) {
	if !IsMessage(data) {
		return nil, errors.New("usage message without its tag")
	}
	var m Message
	if err := decMode.Unmarshal(data[len(prefix):], &m); err != nil {
		return nil, errors.Wrap(err, "decode usage message")
	}
	for i := range m.Queries {
		if err := m.Queries[i].check(); err != nil {
			return nil, err
		}
	}
	for i := range m.Replies {
		r := &m.Replies[i]
		if !validName(r.Account) || r.Status < Granted || r.Status > NotOwner || r.Granted > maxCount || r.Level > 100 {
			return nil, errors.New("usage reply with an invalid field")
		}
	}
	return &m, nil
}

func (q *Query) check() error {
	numbers := q.Rate >= 0 && !math.IsInf(q.Rate, 0) && q.Burst >= 0
	if !validName(q.Account) || !numbers || q.Want > maxCount || q.Returned > maxCount || q.Overdrawn > maxCount {
		return errors.New("usage query with an invalid field")
	}
	return nil
}

func validName(name string) bool { return name != "" && len(name) <= maxNameBytes }

// Split divides lists of queries and replies into messages of at most MaxMessageBytes bytes and calls send with each.
func Split(sender string, queries []Query, replies []Reply, send func([]byte)) {
	const fixed, query, reply = 24, 64, 58 // upper bounds of the encoded sizes without texts
	m, size := &Message{Sender: sender}, fixed+len(sender)
	flush := func() {
		if len(m.Queries)+len(m.Replies) > 0 {
			send(Encode(m))
		}
		m, size = &Message{Sender: sender}, fixed+len(sender)
	}
	for i := range queries {
		if size += query + len(queries[i].Account); size > MaxMessageBytes {
			flush()
			size += query + len(queries[i].Account)
		}
		m.Queries = append(m.Queries, queries[i])
	}
	for i := range replies {
		if size += reply + len(replies[i].Account); size > MaxMessageBytes {
			flush()
			size += reply + len(replies[i].Account)
		}
		m.Replies = append(m.Replies, replies[i])
	}
	flush()
}
