package event

import (
	"io"
	"sync"
	"sync/atomic"
)

const (
	// queuedLines bounds the lines that wait to be written. At the line limits of a daemon they are some
	// seconds of a standard output that nobody reads, in at most a few hundred kilobytes.
	queuedLines = 1024
	// maxLineBytes bounds a line; longer ones are dropped, because half a line cannot be parsed.
	maxLineBytes = 16 << 10
)

// writer passes lines to a goroutine that writes them. A line for which there is no room is dropped and
// counted: an output that blocks must not delay a request.
type writer struct {
	lines   chan []byte
	dropped atomic.Uint64
	pending sync.WaitGroup
	stopped atomic.Bool
}

func newWriter(out io.Writer) *writer {
	w := &writer{lines: make(chan []byte, queuedLines)}
	go func() {
		for line := range w.lines {
			_, _ = out.Write(line) // there is no other place to report it
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
	case w.lines <- append([]byte(nil), line...): // zap reuses its buffer
	default:
		w.pending.Done()
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It waits until all lines have been written, at the end of a process.
func (w *writer) Sync() error {
	w.stopped.Store(true)
	w.pending.Wait()
	return nil
}
