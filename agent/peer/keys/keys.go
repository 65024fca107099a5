// Package keys hands the outcomes of idempotency keys over to their next owners, when a daemon stops
// and when the keys move to another daemon.
package keys

import (
	"context"
	"net"
	"net/rpc"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/agent/caller"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

const (
	serviceName = "Keys"
	// batchSize bounds the outcomes sent in one message.
	batchSize = 256
	// maxOwners bounds the owners that are tried for a record at the stop of a daemon.
	maxOwners = 3
)

// Args carries outcomes to their next owner.
type Args struct{ Records []caller.KeyRecord }

// Reply tells how many of them were new to the receiver.
type Reply struct{ Added int }

// Importer takes over outcomes; an error means that it took none.
type Importer interface {
	ImportKeys(records []caller.KeyRecord) (int, error)
}

// Service is the net/rpc service of the receiving daemon.
type Service struct{ importer Importer }

// HandOver takes over the outcomes in args.
func (s *Service) HandOver(args Args, reply *Reply) error {
	added, err := s.importer.ImportKeys(args.Records)
	reply.Added = added
	return err
}

// Register adds the service to the net/rpc server of a daemon.
func Register(server *rpc.Server, importer Importer) error {
	return server.RegisterName(serviceName, &Service{importer: importer})
}

// Dialer opens a connection to another daemon; it has the form of net.Dialer.DialContext.
type Dialer func(ctx context.Context, network, addr string) (net.Conn, error)

// HandOver sends each record to the daemon that owns its key once self has left. Records whose next
// owner cannot be reached go to the one after it, since such an owner is about to leave as well. It
// returns the number of records sent and the first error.
func HandOver(ctx context.Context, dial Dialer, view *endpoint.View, self endpoint.InstanceID, records []caller.KeyRecord) (int, error) {
	rest := without(view, self)
	sent := 0
	var first error
	for range maxOwners {
		var failed []caller.KeyRecord
		for owner, list := range byOwner(rest, records) {
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

// byOwner groups records by the owner of their keys; keys without an owner are left out.
func byOwner(view *endpoint.View, records []caller.KeyRecord) map[endpoint.Record][]caller.KeyRecord {
	groups := map[endpoint.Record][]caller.KeyRecord{}
	for _, r := range records {
		if owner, ok := caller.Owner(view, r.Key.Service, r.Key.Value); ok {
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

func send(ctx context.Context, dial Dialer, addr string, records []caller.KeyRecord) (int, error) {
	conn, err := dial(ctx, "tcp", addr)
	if err != nil {
		return 0, err
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	client := rpc.NewClient(conn)
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
