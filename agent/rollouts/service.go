package rollouts

import (
	"context"
	"net"
	"net/rpc"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/lib/gobtypes"
	"kingcupwood.example/kingcupwood/pkg/rollout"
)

// serviceName is the name under which Service is registered with net/rpc.
const serviceName = "Rollouts"

// Args is the question of a coordinator.
type Args struct {
	// Entries holds the state of the roll-out in the form of rollout.Encode. The daemons beside the servers
	// learn of a roll-back with it, before the record of the coordinator arrives.
	Entries string
}

// Service is the net/rpc service of a daemon beside a backend server.
type Service struct {
	tracker *Tracker
	log     *event.Logger
}

// Report returns the report of this instance.
func (s *Service) Report(args Args, reply *Report) (err error) {
	defer s.log.ContainError("roll-out report", &err)
	s.tracker.Learn(rollout.Decode(args.Entries))
	*reply = s.tracker.Report()
	return nil
}

// Register adds the service to the net/rpc server of a daemon.
func Register(server *rpc.Server, t *Tracker, log *event.Logger) error {
	if err := gobtypes.Register(Args{}, Report{}); err != nil {
		return err
	}
	return server.RegisterName(serviceName, &Service{tracker: t, log: log})
}

// Dialer opens a connection to the net/rpc address of another daemon.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

// peers holds the connections of a coordinator to the daemons that it asks. It is used by one goroutine
// for each address at a time.
type peers struct {
	dial  Dialer
	conns connections
}

// ask sends a question to the daemon at addr. After an error, the connection is closed.
func (p *peers) ask(ctx context.Context, addr string, args Args) (Report, error) {
	client := p.conns.get(addr)
	if client == nil {
		conn, err := p.dial(ctx, addr)
		if err != nil {
			return Report{}, err
		}
		client = rpc.NewClient(conn)
		p.conns.put(addr, client)
	}
	var reply Report
	call := client.Go(serviceName+".Report", args, &reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error == nil {
			return reply, nil
		}
		p.conns.drop(addr)
		return Report{}, call.Error
	case <-ctx.Done():
		p.conns.drop(addr)
		return Report{}, ctx.Err()
	}
}
