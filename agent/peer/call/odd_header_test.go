package call

import (
	"bytes"
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"kingcupwood.example/kingcupwood/pkg/verdict"
)

// Guards against numbers of another daemon that are out of range: a load that is not a number stays in
// every average it enters, a time of work that is longer than the call spoils the learned times, and
// products of large numbers change their sign.
func TestOddNumbersInResponse(t *testing.T) {
	for name, change := range map[string]func(h *responseHeader){
		"load not a number": func(h *responseHeader) { h.Load = math.NaN() },
		"infinite load":     func(h *responseHeader) { h.Load = math.Inf(1) },
		"negative infinity": func(h *responseHeader) { h.Load = math.Inf(-1) },
		"largest work":      func(h *responseHeader) { h.WorkMicros = math.MaxInt64 },
		"work overflows":    func(h *responseHeader) { h.WorkMicros = math.MaxInt64/1000 + 1 },
		"smallest work":     func(h *responseHeader) { h.WorkMicros = math.MinInt64 },
		"largest retry":     func(h *responseHeader) { h.RetryAfterMicros = math.MaxInt64 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr := startScript(t, func(c *codec, _ int, r *Request) bool {
				h := responseHeader{Sender: r.Attempt.Sender, Seq: r.Attempt.Seq, Verdict: uint8(verdict.Ran), Status: http.StatusOK}
				change(&h)
				c.beginFrame()
				if err := encMode.MarshalToBuffer(&h, &c.out); err != nil {
					return false
				}
				_, err := c.writeFrame(frameResponse, nil)
				return err == nil
			})
			began := time.Now()
			resp, err := newTestClient(t).Do(testCtx(t, testTimeout), addr, request(1))
			is.NoErr(err) // the response itself is whole
			is.True(resp.Load <= math.MaxFloat64 && resp.Load >= -math.MaxFloat64)
			is.True(resp.Work >= 0 && resp.Work <= time.Since(began))
			is.True(resp.RetryAfter >= 0)
		})
	}
}

// Guards against a status of another daemon that net/http cannot write.
func TestOddStatusInResponse(t *testing.T) {
	is := is.New(t)
	for _, status := range []int{math.MinInt, -1, 1, 199, 1000, math.MaxInt} {
		var buf bytes.Buffer
		is.NoErr(encMode.MarshalToBuffer(&responseHeader{Verdict: uint8(verdict.Ran), Status: status}, &buf))
		_, err := new(headerScratch).decodeResponse(buf.Bytes())
		is.True(err != nil)
	}
}

// Guards against times of another daemon whose conversion overflows.
func TestOddNumbersInRequest(t *testing.T) {
	is := is.New(t)
	for _, micros := range []int64{math.MaxInt64, math.MaxInt64/1000 + 1, 3 << 60, -1} {
		var buf bytes.Buffer
		is.NoErr(encMode.MarshalToBuffer(&requestHeader{TimeoutMicros: micros}, &buf))
		_, err := new(headerScratch).decodeRequest(buf.Bytes())
		is.True(err != nil)
		buf.Reset()
		is.NoErr(encMode.MarshalToBuffer(&requestHeader{TimeoutMicros: 1, AimMicros: micros, Patience: micros}, &buf))
		r, err := new(headerScratch).decodeRequest(buf.Bytes())
		is.NoErr(err)
		is.Equal(r.TimeToTarget < 0, micros < 0)
		is.True(r.MaxQueueTime >= 0)
	}
}
