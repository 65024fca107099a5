// Package explain reports in plain text how a request was processed, from the logs of daemons.
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

// maxLineBytes is the maximum length of a log line; daemons write no longer ones.
const maxLineBytes = 64 << 10

// Numbers of the request events, see docs/events.md.
const (
	requestEnded    = 2001
	requestRefused  = 2002
	requestUnrouted = 2003
	requestRejected = 2004
	keyRefused      = 2006
	keyWithdrawn    = 2007
)

// Attempt is an attempt of a request, as logged by the daemon that made it.
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

// line contains the fields of a log line that are used here.
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
	// The following fields are those of a rejected request. Routes reports whether the configuration in
	// force routes by host and path.
	Check       string `json:"check"`
	Method      string `json:"method"`
	Path        string `json:"path"`
	HeaderBytes int    `json:"header_bytes"`
	BodyBytes   int64  `json:"body_bytes"`
	Routes      bool   `json:"routes"`
	// The following fields are those of a withdrawn key.
	Account        string `json:"account"`
	Key            string `json:"key"`
	ArrivedVersion uint64 `json:"arrived_version"`

	source string
}

// Log collects the log lines of one request.
type Log struct {
	request string
	lines   []line
	// scanned is the number of lines read, unparsed that of lines that contain the request ID but
	// no valid event.
	scanned, unparsed int
}

// New returns a Log for the request with the given ID.
func New(request string) *Log { return &Log{request: request} }

// Read adds the lines of one daemon; source names it in the output. Text before the JSON object of
// a line, such as a prefix added by a log collector, is ignored. It fails if reading from in fails.
func (l *Log) Read(source string, in io.Reader) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		l.scanned++
		text := scanner.Text()
		at := strings.IndexByte(text, '{')
		if at < 0 || !strings.Contains(text, l.request) {
			continue
		}
		parsed := line{source: source}
		if err := json.Unmarshal([]byte(text[at:]), &parsed); err != nil {
			l.unparsed++
			continue
		}
		if parsed.Request == l.request {
			l.lines = append(l.lines, parsed)
		}
	}
	return errors.Wrapf(scanner.Err(), "read %s", source)
}

// Write prints the collected lines ordered by time and reports whether there were any. Since the
// clocks of instances differ, a refusal by another daemon always precedes the end of the request
// that it belongs to, whatever its time.
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
		l.lines[i].format(&text)
	}
	if len(l.lines) == 0 {
		fmt.Fprintf(&text, "no event for request %s in %d log lines; successful requests are sampled, and lines above the rate limit are dropped\n", l.request, l.scanned)
	}
	if l.unparsed > 0 {
		fmt.Fprintf(&text, "%d lines with the request ID could not be parsed\n", l.unparsed)
	}
	_, err := io.WriteString(out, text.String())
	return len(l.lines) > 0, errors.WithStack(err)
}

func (l *line) format(out *strings.Builder) {
	fmt.Fprintf(out, "%s  %s: ", l.Time.UTC().Format("15:04:05.000"), l.source)
	switch l.Event {
	case requestRefused:
		fmt.Fprintf(out, "the daemon of a backend server of %s did not admit it (route %s, rank %d, %d ms left, load %.2f of %d slots): %s\n",
			l.Service, l.Route, l.Rank, l.LeftMS, l.Load, l.Slots, l.Error)
	case requestUnrouted:
		fmt.Fprintf(out, "answered with status %d before a route was found (host %s, %s, %s): %s\n", l.Status, l.Host, l.requestText(), l.versionText(), l.Reason)
	case requestRejected, keyRefused:
		fmt.Fprintf(out, "rejected with status %d by the check %q (host %s, %s, header %d bytes, body %s, %s): %s\n",
			l.Status, l.Check, l.Host, l.requestText(), l.HeaderBytes, bodyText(l.BodyBytes), l.versionText(), l.Reason)
	case keyWithdrawn:
		fmt.Fprintf(out, "key %s of account %q was withdrawn in version %d while the request, which arrived in version %d, waited\n",
			l.Key, l.Account, l.Version, l.ArrivedVersion)
	case requestEnded:
		l.formatEnd(out)
	default:
		fmt.Fprintf(out, "%s\n", l.Message)
	}
}

func (l *line) requestText() string { return l.Method + " " + l.Path }

// versionText describes the configuration by which a request was rejected.
func (l *line) versionText() string {
	switch {
	case l.Version == 0:
		return "no configuration"
	case !l.Routes:
		return fmt.Sprintf("version %d, which has no routes", l.Version)
	}
	return fmt.Sprintf("version %d", l.Version)
}

func bodyText(bytes int64) string {
	if bytes < 0 {
		return "of unknown length"
	}
	return fmt.Sprintf("%d bytes", bytes)
}

func (l *line) formatEnd(out *strings.Builder) {
	fmt.Fprintf(out, "ended with status %d after %d of %d ms (route %s to %s, version %d, rank %d); it %s\n",
		l.Status, l.TookMS, l.AllowedMS, l.Route, l.Service, l.Version, l.Rank, verdictText(l.Verdict))
	for i := range l.Attempts {
		l.Attempts[i].format(out, i+1)
	}
	if l.Reason != "" {
		fmt.Fprintf(out, "    answer: %s\n", l.Reason)
	}
}

func (a *Attempt) format(out *strings.Builder, number int) {
	where := "stopped at its daemon"
	if a.Reached {
		where = "reached the backend server"
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
