package event

import (
	"io"
	"sync"
	"sync/atomic"
)

const (
	// maxQueuedLines limits the lines that wait to be written. At the line limits of a daemon, the
	// queue covers several seconds of a standard output that nobody reads, in at most a few hundred
	// kilobytes.
	maxQueuedLines = 1024
	// maxLineBytes limits the length of a line. Longer lines are dropped, because a truncated line
	// cannot be parsed.
	maxLineBytes = 16 << 10
)

// writer queues lines for a goroutine that writes them. If the queue is full, a line is dropped and
// counted, because a blocked output must not delay a request.
type writer struct {
	lines   chan []byte
	dropped atomic.Uint64
	pending sync.WaitGroup
	stopped atomic.Bool
}

func newWriter(out io.Writer) *writer {
	w := &writer{lines: make(chan []byte, maxQueuedLines)}
	go func() {
		for line := range w.lines {
			_, _ = out.Write(line) // there is nowhere else to report an error
			w.pending.Done()
		}
	}()
	return w
}

// Write implements zapcore.WriteSyncer. It never blocks and never fails.
func (w *writer) Write(line []byte) (int, error) {
	if len(line) > maxLineBytes || w.stopped.Load() {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.pending.Add(1)
	select {
	case w.lines <- append([]byte(nil), line...): // copied, because zap reuses its buffer
	default:
		w.pending.Done()
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It is called at the end of a process: it waits until all
// queued lines have been written, and later lines are dropped.
func (w *writer) Sync() error {
	w.stopped.Store(true)
	w.pending.Wait()
	return nil
}
