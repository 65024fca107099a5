// Package keys hands over the outcomes of idempotency keys to their next owners, both when a daemon
// stops and when keys move to another daemon. It also queries other daemons for the state of a key.
package keys

import (
	"context"
	"net"
	"net/rpc"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/agent/caller"
	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/lib/gobtypes"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

const (
	serviceName = "Keys"
	// batchSize bounds the number of outcomes in one message.
	batchSize = 256
	// maxOwners bounds the owners that are tried for a record at the stop of a daemon.
	maxOwners = 3
)

// Args holds the outcomes handed over to their next owner.
type Args struct{ Records []caller.KeyRecord }

// Reply holds the number of outcomes that were new to the receiver.
type Reply struct{ Added int }

// Holder is the key table of the receiving daemon.
type Holder interface {
	// ImportKeys adds outcomes to the table; an error means that none were added.
	ImportKeys(records []caller.KeyRecord) (int, error)
	// AnswerKey returns the state of a key.
	AnswerKey(ctx context.Context, q caller.KeyQuery) (caller.KeyAnswer, error)
}

// Service is the net/rpc service of the receiving daemon.
type Service struct {
	holder Holder
	log    *event.Logger
}

// HandOver imports the outcomes in args.
func (s *Service) HandOver(args Args, reply *Reply) (err error) {
	defer s.log.ContainError("keys", &err)
	added, err := s.holder.ImportKeys(args.Records)
	reply.Added = added
	return err
}

// maxQueryWait bounds the delay of an answer regardless of the wait in the query.
const maxQueryWait = time.Minute

// Ask returns the state of a key at this daemon.
func (s *Service) Ask(q caller.KeyQuery, reply *caller.KeyAnswer) (err error) {
	defer s.log.ContainError("key question", &err)
	q.Wait = min(q.Wait, maxQueryWait)
	answer, err := s.holder.AnswerKey(context.Background(), q)
	*reply = answer
	return err
}

// Register adds the service to the net/rpc server of a daemon.
func Register(server *rpc.Server, holder Holder, log *event.Logger) error {
	if err := gobtypes.Register(Args{}, Reply{}, caller.KeyQuery{}, caller.KeyAnswer{}); err != nil {
		return err
	}
	return server.RegisterName(serviceName, &Service{holder: holder, log: log})
}

// Dialer opens a connection to another daemon; it has the signature of net.Dialer.DialContext.
type Dialer func(ctx context.Context, network, addr string) (net.Conn, error)

// HandOver sends each record to the current and upcoming owners of its key once self has left.
// Records whose next owner cannot be reached go to the following owner, since such an owner is
// probably stopping as well. It returns the number of records sent and the first error.
func HandOver(ctx context.Context, dial Dialer, view *endpoint.View, self endpoint.InstanceID, records []caller.KeyRecord) (int, error) {
	rest := without(view, self)
	sent := 0
	var first error
	for range maxOwners {
		var failed []caller.KeyRecord
		for owner, list := range byOwner(rest, records, time.Now()) {
			n, err := send(ctx, dial, owner.RPCAddr, list)
			sent += n
			if err != nil {
				failed = append(failed, list[n:]...)
				rest = without(rest, owner.Instance)
				if first == nil {
					first = errors.Wrapf(err, "hand over to %s", owner.RPCAddr)
				}
			}
		}
		if records = failed; len(records) == 0 {
			break
		}
	}
	return sent, first
}

// byOwner groups records by the owners of their keys; records without an owner are omitted.
func byOwner(view *endpoint.View, records []caller.KeyRecord, now time.Time) map[endpoint.Record][]caller.KeyRecord {
	groups := map[endpoint.Record][]caller.KeyRecord{}
	for _, r := range records {
		for _, owner := range caller.Owners(view, r.Key.Service, r.Key.Value, now) {
			groups[owner] = append(groups[owner], r)
		}
	}
	return groups
}

// without returns a view without the records of self.
func without(view *endpoint.View, self endpoint.InstanceID) *endpoint.View {
	rest := &endpoint.View{ByService: map[string][]endpoint.Record{}, Unreachable: view.Unreachable}
	for service, list := range view.ByService {
		for _, r := range list {
			if r.Instance != self {
				rest.ByService[service] = append(rest.ByService[service], r)
			}
		}
	}
	return rest
}

// QueryFunc returns the function that queries a daemon for a key. Each query opens its own
// connection, since queries are only sent after a change of owners.
func QueryFunc(dial Dialer) caller.QueryKey {
	return func(ctx context.Context, addr string, q caller.KeyQuery) (caller.KeyAnswer, error) {
		client, err := connect(ctx, dial, addr)
		if err != nil {
			return caller.KeyAnswer{}, err
		}
		defer client.Close()
		var answer caller.KeyAnswer
		err = client.Call(serviceName+".Ask", q, &answer)
		return answer, err
	}
}

// connect opens a connection whose I/O fails after the deadline of ctx.
func connect(ctx context.Context, dial Dialer, addr string) (*rpc.Client, error) {
	conn, err := dial(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	return rpc.NewClient(conn), nil
}

func send(ctx context.Context, dial Dialer, addr string, records []caller.KeyRecord) (int, error) {
	client, err := connect(ctx, dial, addr)
	if err != nil {
		return 0, err
	}
	defer client.Close()
	sent := 0
	for start := 0; start < len(records); start += batchSize {
		batch := records[start:min(start+batchSize, len(records))]
		var reply Reply
		if err := client.Call(serviceName+".HandOver", Args{Records: batch}, &reply); err != nil {
			return sent, err
		}
		sent += len(batch)
	}
	return sent, nil
}
