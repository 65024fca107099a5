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

// blocked is an output that takes nothing until it is opened.
type blocked struct {
	open chan struct{}
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.open
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

// Guards against a request that waits for the log, and against lines that are lost without being counted.
func TestBlockedOutput(t *testing.T) {
	is := is.New(t)
	out := &blocked{open: make(chan struct{})}
	log := newLogger(zapcore.InfoLevel, out)
	const lines = 5 * queuedLines
	began := time.Now()
	for range lines {
		log.Log(DaemonStarted)
	}
	is.True(time.Since(began) < 5*time.Second)
	_, lost := log.Dropped()
	is.True(lost >= lines-queuedLines-1)
	close(out.open)
	log.Sync()
	is.Equal(uint64(strings.Count(out.data.String(), "\n")), lines-lost)
}

// Guards against a flood of failures that floods the log, and against one that hides what was left out.
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
	is.True(written >= requestBurst && written < 2*requestBurst)
	is.Equal(int(limited)+written, failed)
}

// Guards against a log without any request that ended well, and against one with all of them.
func TestRequestsThatEndedWellAreSampled(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := newLogger(zapcore.InfoLevel, &out)
	for range 10 * sampledEvery {
		log.LogRequest(RequestEnded, true, func() []zap.Field { return nil })
	}
	log.Sync()
	is.Equal(strings.Count(out.String(), "\n"), 10)
}

// Guards against a line that is too long for its reader.
func TestLongLine(t *testing.T) {
	is := is.New(t)
	log := newLogger(zapcore.InfoLevel, io.Discard)
	log.Log(DaemonStarted, zap.String("text", strings.Repeat("x", maxLineBytes)))
	_, lost := log.Dropped()
	is.Equal(lost, uint64(1))
}
