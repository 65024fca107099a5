// Package explain finds in the logs of daemons what became of one request, and tells it in words.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// maxLineBytes bounds a line of a log; a daemon writes none that is longer.
const maxLineBytes = 64 << 10

// Events about requests and about what a daemon knows, by their numbers in docs/events.md.
const (
	requestEnded   = 2001
	requestRefused = 2002
	requestStray   = 2003
)

// Attempt is one attempt of a request.
type Attempt struct {
	Instance   string  `json:"instance"`
	AfterMS    int64   `json:"after_ms"`
	TookMS     int64   `json:"took_ms"`
	MaxQueueMS int64   `json:"patience_ms"`
	Verdict    string  `json:"verdict"`
	Reached    bool    `json:"reached_server"`
	Status     int     `json:"status"`
	Load       float64 `json:"load"`
	Reason     string  `json:"reason"`
}

// line is what is read of a line of a log.
type line struct {
	Time      time.Time `json:"time"`
	Event     int       `json:"event"`
	Message   string    `json:"msg"`
	Request   string    `json:"request"`
	Route     string    `json:"route"`
	Service   string    `json:"service"`
	Host      string    `json:"host"`
	Version   uint64    `json:"version"`
	Rank      int       `json:"rank"`
	AllowedMS int64     `json:"allowed_ms"`
	LeftMS    int64     `json:"left_ms"`
	TookMS    int64     `json:"took_ms"`
	Status    int       `json:"status"`
	Verdict   string    `json:"verdict"`
	Reason    string    `json:"reason"`
	Error     string    `json:"error"`
	Load      float64   `json:"load"`
	Slots     int       `json:"slots"`
	Attempts  []Attempt `json:"attempts"`

	source string
}

// Log collects the lines about one request.
type Log struct {
	request string
	lines   []line
	// read counts the lines read, skipped those that are no events.
	read, skipped int
}

// New returns a Log for the request with an ID.
func New(request string) *Log { return &Log{request: request} }

// Read takes over the lines of one process. Text before the JSON object of a line, such as a prefix of a log
// collector, is ignored. It fails if in fails.
func (l *Log) Read(source string, in io.Reader) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		l.read++
		text := scanner.Text()
		at := strings.IndexByte(text, '{')
		if at < 0 || !strings.Contains(text, l.request) {
			continue
		}
		parsed := line{source: source}
		if err := json.Unmarshal([]byte(text[at:]), &parsed); err != nil {
			l.skipped++
			continue
		}
		if parsed.Request == l.request {
			l.lines = append(l.lines, parsed)
		}
	}
	return errors.Wrapf(scanner.Err(), "read %s", source)
}

// Write tells what was found, in order of time. The clocks of instances differ; a refusal by another daemon
// therefore stands before the end of the request that it belongs to, whatever its time. It reports whether
// anything was found.
func (l *Log) Write(out io.Writer) (bool, error) {
	slices.SortStableFunc(l.lines, func(a, b line) int {
		if (a.Event == requestEnded) != (b.Event == requestEnded) {
			if a.Event == requestEnded {
				return 1
			}
			return -1
		}
		return a.Time.Compare(b.Time)
	})
	var text strings.Builder
	for i := range l.lines {
		l.lines[i].tell(&text)
	}
	if len(l.lines) == 0 {
		fmt.Fprintf(&text, "no line about request %s among %d; requests that ended well are sampled, and lines beyond the limit are left out\n", l.request, l.read)
	}
	if l.skipped > 0 {
		fmt.Fprintf(&text, "%d lines with its ID are no events\n", l.skipped)
	}
	_, err := io.WriteString(out, text.String())
	return len(l.lines) > 0, errors.WithStack(err)
}

func (l *line) tell(out *strings.Builder) {
	fmt.Fprintf(out, "%s  %s: ", l.Time.UTC().Format("15:04:05.000"), l.source)
	switch l.Event {
	case requestRefused:
		fmt.Fprintf(out, "the daemon beside a server of %s did not admit it (route %s, rank %d, %d ms left, load %.2f of %d slots): %s\n",
			l.Service, l.Route, l.Rank, l.LeftMS, l.Load, l.Slots, l.Error)
	case requestStray:
		fmt.Fprintf(out, "answered %d before it had a route (host %s): %s\n", l.Status, l.Host, l.Reason)
	case requestEnded:
		l.tellEnd(out)
	default:
		fmt.Fprintf(out, "%s\n", l.Message)
	}
}

func (l *line) tellEnd(out *strings.Builder) {
	fmt.Fprintf(out, "ended with %d after %d of %d ms (route %s to %s, version %d, rank %d); it %s\n",
		l.Status, l.TookMS, l.AllowedMS, l.Route, l.Service, l.Version, l.Rank, verdictText(l.Verdict))
	for i := range l.Attempts {
		l.Attempts[i].tell(out, i+1)
	}
	if l.Reason != "" {
		fmt.Fprintf(out, "    answer: %s\n", l.Reason)
	}
}

func (a *Attempt) tell(out *strings.Builder, number int) {
	where := "stopped at the daemon beside it"
	if a.Reached {
		where = "reached the server"
	}
	fmt.Fprintf(out, "    attempt %d, after %d ms, to %s: %s, took %d ms, status %d, load %.2f, %s", number, a.AfterMS, a.Instance, where, a.TookMS, a.Status, a.Load, verdictText(a.Verdict))
	if a.Reason != "" {
		fmt.Fprintf(out, ": %s", a.Reason)
	}
	out.WriteByte('\n')
}

func verdictText(verdict string) string {
	switch verdict {
	case "ran":
		return "has run"
	case "not-run":
		return "has not run"
	}
	return "may have run"
}
