package agent

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"kingcupwood.example/kingcupwood/agent/backend"
	"kingcupwood.example/kingcupwood/agent/peer/call"
	"kingcupwood.example/kingcupwood/pkg/admission"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

// Guards against requests that wait for a slot and are sent to the backend server after it has said that
// it leaves, or to one of another service in its place, and against holding them until a slot is free.
func TestWaitingRequestsAreRefusedWhenTheServerLeaves(t *testing.T) {
	const slots = 4
	changes := map[string]struct {
		change   func(b *backend.Backend, a backend.Announcement) error
		draining bool
	}{
		"draining": {func(b *backend.Backend, a backend.Announcement) error { a.State = "draining"; return b.Announce(a) }, true},
		"left":     {func(b *backend.Backend, a backend.Announcement) error { return b.Leave(a.ID) }, true},
		"replaced": {func(b *backend.Backend, a backend.Announcement) error { a.Service = "finder"; return b.Announce(a) }, false},
	}
	for name, c := range changes {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			arrived, release := make(chan struct{}, slots+1), make(chan struct{})
			r := newTestReceiver(t, func(http.ResponseWriter, *http.Request) {
				arrived <- struct{}{}
				<-release
			})
			responses := make(chan *call.Response, slots+1)
			send := func(seq uint64) {
				req := testRequest()
				req.Attempt.Seq, req.Rank, req.Timeout, req.TimeToTarget = seq, 2, time.Minute, time.Minute
				responses <- r.ServeCall(t.Context(), req)
			}
			for seq := range uint64(slots) {
				go send(seq)
				<-arrived
			}
			go send(slots)
			for r.admission.Load() <= 1 { // until it waits
				time.Sleep(time.Millisecond)
			}
			is.NoErr(c.change(r.backend, r.backend.Status().Announcement))
			refused := <-responses // at once, while all slots are still taken
			is.Equal(refused.Verdict, verdict.NotRun)
			is.Equal(refused.Status, http.StatusServiceUnavailable)
			is.True(!refused.Offered)
			if c.draining {
				is.True(refused.Draining)
			}
			close(release)
			for range slots {
				is.Equal((<-responses).Verdict, verdict.Ran) // those that had a slot finish
			}
			is.Equal(len(arrived), 0)
		})
	}
}

// Guards against a stopping daemon that takes a call of another daemon for its backend server although it
// breaks it off at its own end: the caller has time left, and the request may not be repeatable.
func TestStoppingDaemonTakesOnlyCallsThatEndInTime(t *testing.T) {
	is := is.New(t)
	r := newTestReceiver(t, func(http.ResponseWriter, *http.Request) {})
	r.stopAt(time.Now().Add(time.Minute))
	for timeout, want := range map[time.Duration]verdict.Verdict{time.Second: verdict.Ran, 2 * time.Minute: verdict.NotRun} {
		req := testRequest()
		req.Timeout = timeout
		resp := r.ServeCall(t.Context(), req)
		is.Equal(resp.Verdict, want)
		is.Equal(resp.Draining, want == verdict.NotRun)
		_, refused := r.AdmitBody(t.Context(), req, 1)
		is.Equal(refused != nil, want == verdict.NotRun)
	}
}

// Guards against a request that waited for a slot when the stop began, gets one late and is broken off.
func TestWaitingRequestsThatOutlastTheDaemonAreRefused(t *testing.T) {
	is := is.New(t)
	r := newTestReceiver(t, func(http.ResponseWriter, *http.Request) {})
	var tickets []*admission.Ticket
	for range 4 {
		ticket, err := r.admission.AcquireFor(t.Context(), admission.Request{Kind: "view", Rank: 2, Deadline: time.Now().Add(time.Hour)})
		is.NoErr(err)
		tickets = append(tickets, ticket)
	}
	responses := map[time.Duration]chan *call.Response{time.Minute: make(chan *call.Response, 1), time.Hour: make(chan *call.Response, 1)}
	for timeout, response := range responses {
		go func() {
			req := testRequest()
			req.Attempt.Seq, req.Rank, req.Timeout, req.TimeToTarget = uint64(timeout), 2, timeout, timeout
			response <- r.ServeCall(t.Context(), req)
		}()
	}
	for r.admission.Load() < 1.5 { // until both wait
		time.Sleep(time.Millisecond)
	}
	r.stopAt(time.Now().Add(2 * time.Minute))
	refused := <-responses[time.Hour]
	is.Equal(refused.Verdict, verdict.NotRun)
	is.True(refused.Draining)
	for _, ticket := range tickets {
		ticket.Done(admission.Outcome{})
	}
	is.Equal((<-responses[time.Minute]).Verdict, verdict.Ran)
}

// Guards against a large body whose sender waits for the link although the server has left meanwhile.
func TestBodyWaitEndsWhenTheServerLeaves(t *testing.T) {
	is := is.New(t)
	r := newTestReceiver(t, func(http.ResponseWriter, *http.Request) { t.Error("the request has run") })
	const linkBytesPerSecond = 1_000_000
	r.bodies = newBodySchedule(linkBytesPerSecond)
	req := testRequest()
	req.Rank, req.Timeout, req.TimeToTarget = 2, time.Minute, time.Minute
	_, refused := r.AdmitBody(t.Context(), req, 20*linkBytesPerSecond)
	is.Equal(refused, nil)
	response := make(chan *call.Response)
	go func() {
		_, refused := r.AdmitBody(t.Context(), req, linkBytesPerSecond)
		response <- refused
	}()
	time.Sleep(2 * stateCheckInterval)
	is.NoErr(r.backend.Leave(r.backend.Status().ID))
	left := time.Now()
	refused = <-response
	is.Equal(refused.Verdict, verdict.NotRun)
	is.True(refused.Draining)
	is.True(time.Since(left) < 5*time.Second) // of more than 20 s of waiting
}
