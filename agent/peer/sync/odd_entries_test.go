package sync

import (
	"bytes"
	"context"
	"math"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/distribution"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/membership"
)

func usableEntry(name endpoint.InstanceID) membership.Entry {
	return membership.Entry{Record: endpoint.Record{
		Instance: name, Domain: "a", Incarnation: 1000, State: endpoint.Ready,
		CallAddr: "10.0.0.1:7000", RPCAddr: "10.0.0.1:7001", ProbeAddr: "10.0.0.1:7002",
	}}
}

func mustMarshal(v any) cbor.RawMessage {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// Guards against an entry of another writer that makes all entries of an exchange unreadable, so that
// a daemon cannot join.
func TestOddEntryAmongOthers(t *testing.T) {
	tooLarge := usableEntry("odd")
	tooLarge.Record.Incarnation = math.MaxUint64
	deadTooLarge := usableEntry("odd")
	deadTooLarge.Dead, deadTooLarge.DeadIncarnation = true, math.MaxUint64
	port := usableEntry("odd")
	port.Record.CallAddr = "10.0.0.1:70000"
	for name, odd := range map[string]cbor.RawMessage{
		"deeply nested":        append(bytes.Repeat([]byte{0x81}, 60_000), 0x00),
		"number":               {0x07},
		"text for slots":       mustMarshal(map[int]any{1: map[int]any{1: "odd", 2: 1, 4: "a", 7: "10.0.0.1:1", 10: 2, 11: "six"}}),
		"slots over 64 bit":    append([]byte{0xa1, 0x01, 0xa1, 0x0b}, mustMarshal(uint64(math.MaxUint64))...),
		"state over 8 bit":     mustMarshal(map[int]any{1: map[int]any{1: "odd", 2: 1, 4: "a", 7: "10.0.0.1:1", 10: 700}}),
		"negative incarnation": mustMarshal(map[int]any{1: map[int]any{1: "odd", 2: -1}}),
		"largest incarnation":  mustMarshal(tooLarge),
		"dead for ever":        mustMarshal(deadTooLarge),
		"port out of range":    mustMarshal(port),
		"nothing":              mustMarshal(nil),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			list, err := newEntryCodec().decode(mustMarshal([]cbor.RawMessage{
				mustMarshal(usableEntry("one")), odd, mustMarshal(usableEntry("two")),
			}))
			is.NoErr(err)
			is.Equal(list.entries, []membership.Entry{usableEntry("one"), usableEntry("two")})
			is.Equal(list.skipped, 1)
			is.True(list.reason != nil)
		})
	}
}

// oddPeer answers every request for entries or versions with a time to come back that never ends.
type oddPeer struct{}

func (oddPeer) Exchange(_ ExchangeArgs, reply *ExchangeReply) error {
	reply.RetryAfter = math.MaxInt64
	reply.Peers = []string{"host.example:80", "10.0.0.1:70000", "10.0.0.1:0", "", "192.0.2.1:7000"}
	return nil
}

func (oddPeer) Poll(_ PollArgs, reply *PollReply) error {
	reply.RetryAfter = math.MaxInt64
	return nil
}

// Guards against a daemon that stops following because another one told it to come back after a time
// out of range, and against a redirect to addresses that cannot be used.
func TestOddRedirect(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := rpc.NewServer()
	is.NoErr(server.RegisterName(ServiceName, oddPeer{}))
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- Serve(ctx, listener, server) }()
	defer func() { cancel(); is.NoErr(<-served) }()

	self := usableEntry("self").Record
	peer := usableEntry("peer").Record
	peer.RPCAddr = listener.Addr().String()
	members := newLocalMembers(self)
	members.Do(func(now time.Time, s *membership.State) { s.Merge(now, []membership.Entry{{Record: peer}}) })
	f := NewFollower(Config{Self: self, Members: members, Store: NewStore(&realCodec{}), Dial: DialTCP, Log: event.Nop(), Seed: 1})
	peers, err := f.exchange(ctx, peer.RPCAddr)
	is.Equal(peers, []string{"192.0.2.1:7000"})
	backoff := distribution.Backoff{Base: retryBase, Max: retryMax}
	is.True(err != nil)
	is.True(f.retryDelay(&backoff, err) <= 2*maxRetryAfter) // the jitter at most doubles it
	s, err := f.pollParent(ctx, nil, peer.Instance)
	is.True(err != nil)
	is.True(f.retryDelay(&backoff, err) <= 2*maxRetryAfter)
	closeSession(s)
}
