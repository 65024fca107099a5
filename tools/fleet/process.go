// Package fleet starts the processes of a small deployment on loopback for the demo, the benchmarks
// and the failure tests. It ends only processes that it has started.
package fleet

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Process is one running process of the deployment.
type Process struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{}
	log  *os.File
}

// StartProcess runs binary with args; its output goes to name.log in dir.
func StartProcess(dir, name, binary string, args ...string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open log file")
	}
	cmd := exec.Command(binary, args...)
	cmd.Stdout, cmd.Stderr = log, log
	// A process whose starter is killed must not stay behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		log.Close()
		return nil, errors.Wrapf(err, "start %s", name)
	}
	p := &Process{Name: name, cmd: cmd, done: make(chan struct{}), log: log}
	go p.wait()
	return p, nil
}

func (p *Process) wait() {
	_ = p.cmd.Wait() // the exit code is read from ProcessState
	p.log.Close()
	close(p.done)
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Stop asks the process to stop and waits for it. It returns an error if the process does not end
// within limit (and is killed then) or ends with a non-zero exit code.
func (p *Process) Stop(limit time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.done:
	case <-time.After(limit):
		p.Kill()
		return errors.Errorf("%s did not stop within %v", p.Name, limit)
	}
	if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		return errors.Errorf("%s ended with exit code %d", p.Name, code)
	}
	return nil
}

// Kill ends the process at once and waits for it.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill() // fails only if it has ended already
	<-p.done
}

// freezeLimit bounds the wait for the threads of a process to stop.
const freezeLimit = 5 * time.Second

// Freeze suspends the process until Resume. It returns when all its threads have stopped: the signal
// takes effect after the system call returns, and a thread that still runs may answer a request.
func (p *Process) Freeze() error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	for deadline := time.Now().Add(freezeLimit); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		stopped, err := p.stopped()
		if stopped || err != nil {
			return err
		}
	}
	return errors.Errorf("%s did not stop within %v", p.Name, freezeLimit)
}

// stopped reports whether every thread is in the state T (stopped).
func (p *Process) stopped() (bool, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.PID()))
	if err != nil || len(files) == 0 {
		return false, errors.Errorf("threads of %s: found %d, %v", p.Name, len(files), err)
	}
	for _, file := range files {
		stat, err := os.ReadFile(file)
		if err != nil {
			return false, errors.Wrapf(err, "threads of %s", p.Name)
		}
		// The state follows the program name, which stands in parentheses.
		if stat[bytes.LastIndexByte(stat, ')')+2] != 'T' {
			return false, nil
		}
	}
	return true, nil
}

// Resume continues a process after Freeze.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) error {
	return errors.Wrapf(p.cmd.Process.Signal(signal), "signal %s", p.Name)
}

// run executes binary to its end and returns its output.
func run(binary string, args ...string) (string, error) {
	output, err := exec.Command(binary, args...).CombinedOutput()
	if err != nil {
		return string(output), errors.Wrapf(err, "kingcupwood %s: %s", fmt.Sprint(args), output)
	}
	return string(output), nil
}
