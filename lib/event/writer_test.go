package event

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// blockedOutput is an output whose writes block until open is closed.
type blockedOutput struct {
	open chan struct{}
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *blockedOutput) Write(p []byte) (int, error) {
	<-b.open
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

// Guards against a request that blocks on the log output, and against dropped lines that are not
// counted.
func TestBlockedOutput(t *testing.T) {
	is := is.New(t)
	out := &blockedOutput{open: make(chan struct{})}
	log := newLogger(zapcore.InfoLevel, out)
	const lines = 5 * maxQueuedLines
	started := time.Now()
	for range lines {
		log.Log(DaemonStarted)
	}
	is.True(time.Since(started) < 5*time.Second)
	_, dropped := log.Dropped()
	is.True(dropped >= lines-maxQueuedLines-1)
	close(out.open)
	log.Sync()
	is.Equal(uint64(strings.Count(out.data.String(), "\n")), lines-dropped)
}

// Guards against a log flooded by many failed requests, and against dropped lines that are not
// counted.
func TestRequestLinesAreBounded(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := newLogger(zapcore.InfoLevel, &out)
	const failed = 10_000
	for range failed {
		log.LogRequest(RequestEnded, false, func() []zap.Field { return []zap.Field{zap.String("request", "q1")} })
	}
	limited, _ := log.Dropped()
	log.Sync()
	written := strings.Count(out.String(), "\n")
	is.True(written >= requestLinesBurst && written < 2*requestLinesBurst)
	is.Equal(int(limited)+written, failed)
}

// Guards against an overload that crowds out the lines about rejected requests, and against a log
// flooded by rejected requests.
func TestRejectionLinesAreKeptInAnOverload(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := newLogger(zapcore.InfoLevel, &out)
	const failed = 10_000
	for range failed {
		log.LogRequest(RequestEnded, false, func() []zap.Field { return nil })
	}
	for range failed {
		log.LogRejection(RequestRejected, func() []zap.Field { return nil })
	}
	limited, _ := log.Dropped()
	log.Sync()
	written := strings.Count(out.String(), RequestRejected.Text)
	is.True(written >= rejectionLinesBurst && written < 2*rejectionLinesBurst)
	is.Equal(int(limited)+strings.Count(out.String(), "\n"), 2*failed)
}

// Guards against a log without any routine request, and against a log with all of them.
func TestRoutineRequestsAreSampled(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := newLogger(zapcore.InfoLevel, &out)
	for range 10 * sampleInterval {
		log.LogRequest(RequestEnded, true, func() []zap.Field { return nil })
	}
	log.Sync()
	is.Equal(strings.Count(out.String(), "\n"), 10)
}

// Guards against writing a line that is too long for its reader.
func TestLongLine(t *testing.T) {
	is := is.New(t)
	log := newLogger(zapcore.InfoLevel, io.Discard)
	log.Log(DaemonStarted, zap.String("text", strings.Repeat("x", maxLineBytes)))
	_, dropped := log.Dropped()
	is.Equal(dropped, uint64(1))
}
