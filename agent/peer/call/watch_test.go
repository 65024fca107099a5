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

// goneWithin is how soon work must stop after its caller has gone.
const goneWithin = 500 * time.Millisecond

// sendAndLeave sends a request whose sender gives up after a moment, and returns how its handler ended: true if
// it was cancelled.
func sendAndLeave(t *testing.T, idempotent, started bool) (cancelled bool, after time.Duration) {
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
		case <-time.After(2 * goneWithin):
			ended <- false
		}
		return &Response{Verdict: verdict.Ran, Status: 200}
	})
	client := NewClientWithDialer(new(net.Dialer).DialContext, event.Nop())
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), generous)
	var left time.Time
	go func() {
		<-begun
		time.Sleep(2 * watchInterval)
		left = time.Now()
		cancel()
	}()
	_, err := client.Do(ctx, d.addr, &Request{
		Attempt: fence.AttemptID{Sender: 3, Seq: 1}, Timeout: generous, Method: "GET", Target: "/", Host: "h", Idempotent: idempotent,
	})
	if err == nil {
		t.Fatal("a cancelled call has an answer")
	}
	cancelled = <-ended
	return cancelled, time.Since(left)
}

// Guards against work that goes on after its caller has gone, and against a non-idempotent request that is
// broken off after it has started.
func TestSenderLeaves(t *testing.T) {
	is := is.New(t)
	cancelled, after := sendAndLeave(t, true, true)
	is.True(cancelled && after < goneWithin)
	cancelled, after = sendAndLeave(t, false, false) // still waiting for a slot
	is.True(cancelled && after < goneWithin)
	cancelled, _ = sendAndLeave(t, false, true)
	is.True(!cancelled)
}
