package call

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/fence"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

// maxCancelDelay is the time within which a request must be cancelled after its sender disconnects.
const maxCancelDelay = 500 * time.Millisecond

// sendAndDisconnect sends a request and cancels it while its handler runs. It returns whether the
// context of the handler was cancelled, and how long after the sender cancelled the request.
func sendAndDisconnect(t *testing.T, idempotent, started bool) (cancelled bool, after time.Duration) {
	t.Helper()
	ended, begun := make(chan bool, 1), make(chan struct{})
	d := startDaemon(t, func(ctx context.Context, r *Request) *Response {
		if started {
			r.Start()
		}
		close(begun)
		select {
		case <-ctx.Done():
			ended <- true
		case <-time.After(2 * maxCancelDelay):
			ended <- false
		}
		return &Response{Verdict: verdict.Ran, Status: 200}
	})
	client := NewClientWithDialer(new(net.Dialer).DialContext, event.Nop())
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	var left time.Time
	go func() {
		<-begun
		time.Sleep(2 * disconnectCheckInterval)
		left = time.Now()
		cancel()
	}()
	_, err := client.Do(ctx, d.addr, &Request{
		Attempt: fence.AttemptID{Sender: 3, Seq: 1}, Timeout: testTimeout, Method: "GET", Target: "/", Host: "h", Idempotent: idempotent,
	})
	if err == nil {
		t.Fatal("a cancelled call returned a response")
	}
	cancelled = <-ended
	return cancelled, time.Since(left)
}

// Guards against requests that keep running after their sender has disconnected, and against
// cancelling a non-idempotent request that has started.
func TestSenderDisconnects(t *testing.T) {
	is := is.New(t)
	cancelled, after := sendAndDisconnect(t, true, true)
	is.True(cancelled && after < maxCancelDelay)
	cancelled, after = sendAndDisconnect(t, false, false) // still waiting for a slot
	is.True(cancelled && after < maxCancelDelay)
	cancelled, _ = sendAndDisconnect(t, false, true)
	is.True(!cancelled)
}
