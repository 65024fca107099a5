package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"kingcupwood.example/kingcupwood/agent/backend"
	"kingcupwood.example/kingcupwood/agent/peer/call"
	"kingcupwood.example/kingcupwood/lib/event"
	standin "kingcupwood.example/kingcupwood/standin/backend"
)

// Roles of the processes that the driver starts.
const (
	roleBackend  = "backend"
	roleReceiver = "receiver"
	roleSender   = "sender"
)

const (
	// slots, queue and connections exceed the load, so that the run measures hops and not queues. The
	// direct calls and those of the daemon share the connections.
	slots         = 64
	queue         = 4096
	connections   = 2048
	requestBytes  = 512
	responseBytes = 4 << 10
	callTimeout   = 5 * time.Second
)

// runBackend serves until SIGTERM and announces itself at the receiver.
func runBackend(announce string, serviceTime time.Duration) error {
	addr, err := netip.ParseAddrPort(announce)
	if err != nil {
		return err
	}
	server, err := standin.NewServer(&standin.Settings{
		Server: standin.ServerSettings{Service: "pages", Slots: slots, Connections: connections, DrainTimeout: callTimeout},
		Work:   standin.WorkSettings{ServiceTime: serviceTime, ResponseBytes: responseBytes, Queue: queue},
		Daemon: standin.AnnounceSettings{Announce: addr, Call: addr},
	}, event.Nop())
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	fmt.Println(l.Addr())
	return server.Run(ctx, l)
}

// receivingDaemon passes calls to the backend server beside it.
type receivingDaemon struct{ backend *backend.Backend }

// ServeCall implements call.Handler.
func (d receivingDaemon) ServeCall(ctx context.Context, r *call.Request) *call.Response {
	resp, err := d.backend.Do(ctx, r, r.Start)
	if err != nil {
		return call.ErrorResponse(r.Attempt, err)
	}
	return resp
}

// runReceiver prints the address for calls and that for announcements.
func runReceiver() error {
	calls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	announcements, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	b := backend.New(backend.Config{}, event.Nop())
	go func() { _ = http.Serve(announcements, b.Announcements()) }()
	fmt.Println(calls.Addr(), announcements.Addr())
	return call.NewServer(receivingDaemon{b}, uint64(os.Getpid()), event.Nop()).Serve(calls)
}

// sendingDaemon takes requests of callers over HTTP and passes them to the receiver.
type sendingDaemon struct {
	client   *call.Client
	receiver string
}

// ServeHTTP implements http.Handler.
func (d *sendingDaemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, call.MaxRequestBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	resp, err := d.client.Do(ctx, d.receiver, &call.Request{
		Attempt: d.client.NextAttempt(),
		Service: r.Host, Kind: "view", Version: 1, Timeout: callTimeout, Depth: 1,
		Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header, Body: body,
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	header := w.Header()
	for name, values := range resp.Header {
		header[name] = values
	}
	header.Set("Content-Length", strconv.Itoa(len(resp.Body)))
	w.WriteHeader(resp.Status)
	_, _ = w.Write(resp.Body)
}

// runSender prints the address for callers.
func runSender(receiver string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Println(l.Addr())
	return http.Serve(l, &sendingDaemon{client: call.NewClient(1, event.Nop()), receiver: receiver})
}
