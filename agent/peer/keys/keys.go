// Package keys hands the outcomes of idempotency keys from a stopping daemon to their next owners.
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
)

// Args carries outcomes to their next owner.
type Args struct{ Records []caller.KeyRecord }

// Reply tells how many of them were new to the receiver.
type Reply struct{ Added int }

// Importer takes over outcomes.
type Importer interface {
	ImportKeys(records []caller.KeyRecord) int
}

// Service is the net/rpc service of the receiving daemon.
type Service struct{ importer Importer }

// HandOver takes over the outcomes in args.
func (s *Service) HandOver(args Args, reply *Reply) error {
	reply.Added = s.importer.ImportKeys(args.Records)
	return nil
}

// Register adds the service to the net/rpc server of a daemon.
func Register(server *rpc.Server, importer Importer) error {
	return server.RegisterName(serviceName, &Service{importer: importer})
}

// HandOver sends each record to the daemon that owns its key once self has left. It returns the
// number of records sent and the first error; it goes on with the other owners after an error.
func HandOver(ctx context.Context, view *endpoint.View, self endpoint.InstanceID, records []caller.KeyRecord) (int, error) {
	byOwner := map[string][]caller.KeyRecord{}
	rest := without(view, self)
	for _, r := range records {
		if owner, ok := caller.Owner(rest, r.Key.Service, r.Key.Value); ok {
			byOwner[owner.RPCAddr] = append(byOwner[owner.RPCAddr], r)
		}
	}
	sent := 0
	var first error
	for addr, list := range byOwner {
		n, err := send(ctx, addr, list)
		sent += n
		if err != nil && first == nil {
			first = errors.Wrapf(err, "hand over to %s", addr)
		}
	}
	return sent, first
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

func send(ctx context.Context, addr string, records []caller.KeyRecord) (int, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", addr)
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
