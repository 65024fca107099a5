package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/agent/operator"
)

// clockTick is the unit of the times in /proc/PID/stat; Linux reports them in 1/100 s.
const clockTick = 10 * time.Millisecond

// Indexes of fields of /proc/PID/stat, counted from the state, which follows the program name.
const (
	statUserTime   = 11
	statSystemTime = 12
)

// Usage is what a process has used of the machine.
type Usage struct {
	// CPU is the processor time since the start of the process.
	CPU time.Duration
	// ResidentBytes is the resident memory.
	ResidentBytes int64
}

// Usage reads the usage of a running process that the fleet has started.
func (p *Process) Usage() (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return Usage{}, errors.Wrapf(err, "usage of %s", p.Name)
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return Usage{}, errors.Wrapf(err, "usage of %s", p.Name)
	}
	cpu, err := parseStat(stat)
	if err != nil {
		return Usage{}, errors.Wrapf(err, "usage of %s", p.Name)
	}
	resident, err := parseStatus(status)
	return Usage{CPU: cpu, ResidentBytes: resident}, errors.Wrapf(err, "usage of %s", p.Name)
}

// schedstatWait is the index of the time in nanoseconds that a thread waited for a processor.
const schedstatWait = 1

// ProcessorWait returns how long the threads of p that still run have been ready without getting a processor, in
// total. It tells a slow program from a busy machine.
func (p *Process) ProcessorWait() (time.Duration, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", p.PID()))
	if err != nil {
		return 0, errors.Wrapf(err, "processor wait of %s", p.Name)
	}
	var total time.Duration
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended
		}
		fields := strings.Fields(string(content))
		if len(fields) <= schedstatWait {
			return 0, errors.Errorf("unexpected content of %s", file)
		}
		wait, err := strconv.ParseInt(fields[schedstatWait], 10, 64)
		if err != nil {
			return 0, errors.Wrapf(err, "processor wait of %s", p.Name)
		}
		total += time.Duration(wait)
	}
	return total, nil
}

// parseStat returns the processor time in the content of /proc/PID/stat.
func parseStat(stat []byte) (time.Duration, error) {
	// The program name stands in parentheses and may contain spaces.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) <= statSystemTime {
		return 0, errors.New("unexpected content of /proc/PID/stat")
	}
	user, err := strconv.ParseInt(fields[statUserTime], 10, 64)
	if err != nil {
		return 0, errors.Wrap(err, "user time")
	}
	system, err := strconv.ParseInt(fields[statSystemTime], 10, 64)
	return time.Duration(user+system) * clockTick, errors.Wrap(err, "system time")
}

// parseStatus returns the resident memory in the content of /proc/PID/status.
func parseStatus(status []byte) (int64, error) {
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			return kilobytes << 10, errors.Wrap(err, "resident memory")
		}
	}
	return 0, errors.New("no resident memory in /proc/PID/status")
}

// LogPath returns the file that takes the output of the process.
func (p *Process) LogPath() string { return p.log.Name() }

// ProbeAddr returns the UDP address of the daemon of i.
func (i *Instance) ProbeAddr() netip.AddrPort { return i.probes }

// Vars decodes the metrics of the daemon of i into value, which has a JSON layout.
func (i *Instance) Vars(ctx context.Context, value any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.Admin.String()+operator.PathVars, nil)
	if err != nil {
		return errors.Wrap(err, "request of metrics")
	}
	req.Header.Set("Authorization", "Bearer "+adminToken)
	resp, err := HTTP.Do(req)
	if err != nil {
		return errors.Wrapf(err, "metrics of %s", i.Name)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("metrics of %s: status %d", i.Name, resp.StatusCode)
	}
	return errors.Wrapf(json.NewDecoder(resp.Body).Decode(value), "metrics of %s", i.Name)
}
