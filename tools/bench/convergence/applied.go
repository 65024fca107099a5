package convergence

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// applied is a version that a daemon has put in force. The log states the time in milliseconds.
type applied struct {
	version snapshot.Version
	at      time.Time
}

// logTail reads from the log of a daemon when it put versions in force.
type logTail struct {
	path    string
	offset  int64
	partial []byte
	applied []applied
}

// restarted forgets what the log holds so far, as a new process appends to it.
func (t *logTail) restarted() error {
	info, err := os.Stat(t.path)
	if err != nil {
		return errors.Wrap(err, "log of a daemon")
	}
	t.offset, t.partial, t.applied = info.Size(), nil, nil
	return nil
}

// read takes over what was appended to the log since the last call.
func (t *logTail) read() error {
	file, err := os.Open(t.path)
	if err != nil {
		return errors.Wrap(err, "log of a daemon")
	}
	defer file.Close()
	if _, err := file.Seek(t.offset, io.SeekStart); err != nil {
		return errors.Wrap(err, "log of a daemon")
	}
	data, err := io.ReadAll(file)
	if err != nil {
		return errors.Wrap(err, "log of a daemon")
	}
	t.offset += int64(len(data))
	t.add(data)
	return nil
}

// add takes over further bytes of the log; an incomplete last line is kept for the next call.
func (t *logTail) add(data []byte) {
	data = append(t.partial, data...)
	for {
		line, rest, complete := bytes.Cut(data, []byte("\n"))
		if !complete {
			t.partial = bytes.Clone(data)
			return
		}
		data = rest
		if a, ok := parseApplied(line); ok {
			t.applied = append(t.applied, a)
		}
	}
}

func parseApplied(line []byte) (applied, bool) {
	var entry struct {
		Time    time.Time        `json:"time"`
		Event   event.ID         `json:"event"`
		Version snapshot.Version `json:"version"`
	}
	if json.Unmarshal(line, &entry) != nil || entry.Event != event.VersionApplied.ID || entry.Time.IsZero() {
		return applied{}, false
	}
	return applied{entry.Version, entry.Time}, true
}

// reached returns when the daemon had version v or a higher one in force.
func (t *logTail) reached(v snapshot.Version) (time.Time, bool) {
	for _, a := range t.applied {
		if a.version >= v {
			return a.at, true
		}
	}
	return time.Time{}, false
}
