package caller

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"kingcupwood.example/kingcupwood/agent/peer/call"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

// started sets the time since the start of the daemon.
func (b *bench) started(ago time.Duration) {
	b.config.StartedMS = uint64(time.Now().Add(-ago).UnixMilli())
}

// Guards against refusing all requests between the start of a daemon and its first configuration,
// or between that and the first server it learns of.
func TestHeldWhileStarting(t *testing.T) {
	is := is.New(t)
	b := newRoutedBench(t, "i1")
	snap := b.snapshot()
	for _, c := range []struct{ prepare, later func() }{
		{func() { b.accept(nil) }, func() { b.accept(snap) }},
		{func() { b.selector.Update(&endpoint.View{}) }, func() { b.selector.Update(b.currentView()) }},
	} {
		c.prepare()
		b.started(0)
		time.AfterFunc(30*time.Millisecond, c.later)
		is.Equal(b.serveHTTP(routedRequest("GET", "/view/a")).Code, http.StatusOK)
	}
	left := b.remote.sent[0].Timeout
	is.True(left < 875*time.Millisecond) // the time that the request was held counts
}

// Guards against holding requests when nothing is going to change, beyond their share of the
// timeout, or indefinitely.
func TestNotHeldForLong(t *testing.T) {
	is := is.New(t)
	b := newRoutedBench(t, "i1")
	b.accept(nil)
	status := func(r *http.Request) (int, time.Duration) {
		began := time.Now()
		return b.serveHTTP(r).Code, time.Since(began)
	}
	b.started(startupWindow)
	code, took := status(routedRequest("GET", "/view/a", "Left", "60000"))
	is.Equal(code, http.StatusServiceUnavailable)
	is.True(took < time.Second) // 20 s if it were held
	b.started(0)
	code, took = status(routedRequest("GET", "/view/a", "Left", "300"))
	is.Equal(code, http.StatusServiceUnavailable)
	is.True(took >= 90*time.Millisecond)
	is.Equal(b.startupWaits.Load(), int64(0)) // each wait is counted once
	r := routedRequest("GET", "/view/a")
	r.Header.Del("Left") // no timeout of the caller
	code, _ = status(r)
	is.Equal(code, http.StatusServiceUnavailable)
	b.startupWaits.Store(maxStartupWaits)
	code, took = status(routedRequest("GET", "/view/a", "Left", "60000"))
	is.Equal(code, http.StatusServiceUnavailable)
	is.True(took < time.Second)
	is.Equal(b.startupWaits.Load(), int64(maxStartupWaits))
	is.Equal(b.remote.sent, []call.Request(nil))
}

// Guards against additional traffic between failure domains for each search for a free slot.
func TestWaitsInAnotherDomain(t *testing.T) {
	is := is.New(t)
	b := newRoutedBench(t, "i1", "i2")
	b.config.Domain = "lj-9"
	b.remote.do = answerBusy
	is.Equal(b.serveHTTP(routedRequest("GET", "/view/a")).Code, http.StatusServiceUnavailable)
	is.True(b.remote.sent[0].MaxQueueTime > 0)
	is.Equal(b.remote.sent[1].MaxQueueTime, time.Duration(0))
}
