package call

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/rpc"
	"os"
	"os/exec"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/fence"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

// receiverEnv is the environment variable that makes the test binary run as a receiving daemon.
const receiverEnv = "KINGCUPWOOD_TEST_RECEIVER"

func TestMain(m *testing.M) {
	if os.Getenv(receiverEnv) != "" {
		runReceiver()
		return
	}
	goleak.VerifyTestMain(m)
}

// runReceiver serves calls until the process is killed. "/runs" returns the number of requests that
// have run, "/hang" runs and never responds.
func runReceiver() {
	var runs atomic.Int32
	server := NewServer(handlerFunc(func(ctx context.Context, r *Request) *Response {
		if r.Target == "/runs" {
			return &Response{Status: 200, Body: strconv.AppendInt(nil, int64(runs.Load()), 10)}
		}
		if r.Start() {
			runs.Add(1)
		}
		if r.Target == "/hang" {
			<-ctx.Done()
		}
		return &Response{Verdict: verdict.Ran, Status: 200}
	}), uint64(os.Getpid()), event.Nop())
	calls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	fences, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	rpcServer := rpc.NewServer()
	if err := server.RegisterRPC(rpcServer); err != nil {
		panic(err)
	}
	go rpcServer.Accept(fences)
	fmt.Println(calls.Addr(), fences.Addr())
	_ = server.Serve(calls)
}

type receiver struct {
	cmd       *exec.Cmd
	process   *os.Process
	addr, rpc string
}

func startReceiver(t *testing.T) *receiver {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), receiverEnv+"=1")
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	r := &receiver{cmd: cmd, process: cmd.Process}
	if _, err := fmt.Sscan(line, &r.addr, &r.rpc); err != nil {
		t.Fatal(err)
	}
	return r
}

// freeze stops the process and waits until it has stopped, because the signal takes effect
// asynchronously.
func (r *receiver) freeze(t *testing.T) {
	t.Helper()
	if err := r.process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	var status syscall.WaitStatus
	if _, err := syscall.Wait4(r.process.Pid, &status, syscall.WUNTRACED, nil); err != nil || !status.Stopped() {
		t.Fatalf("the receiver has not stopped: %v, status %#x", err, status)
	}
}

// kill ends the process and waits until it has exited, after which its connections are closed.
func (r *receiver) kill(t *testing.T) {
	t.Helper()
	if err := r.process.Kill(); err != nil {
		t.Fatal(err)
	}
	_ = r.cmd.Wait()
}

// writeHook calls written after each write.
type writeHook struct {
	net.Conn
	written func()
}

func (w writeHook) Write(b []byte) (int, error) {
	defer w.written()
	return w.Conn.Write(b)
}

// Guards against running a request after a frozen receiver resumes although its fence returned
// "never will run", and against a fence result other than unknown while the receiver is frozen.
func TestReceiverFrozenAndResumed(t *testing.T) {
	is := is.New(t)
	r := startReceiver(t)
	c := newTestClient(t)
	is.NoErr(c.Prepare(testCtx(t, testTimeout), r.addr, 1))
	r.freeze(t)
	lost := request(1)
	ctx, cancel := context.WithCancel(context.Background())
	codec := &c.peers[r.addr].idle[0].codec
	codec.conn = writeHook{Conn: codec.conn, written: cancel}
	_, err := c.Do(ctx, r.addr, lost)
	is.Equal(verdict.Of(err), verdict.MayHaveRun)
	is.True(errors.Is(err, context.Canceled))
	is.Equal(c.Fence(testCtx(t, 50*time.Millisecond), r.addr, r.rpc, lost.Attempt), fence.Unknown)
	_, err = c.Do(testCtx(t, 50*time.Millisecond), r.addr, request(2)) // there is no greeting
	is.Equal(verdict.Of(err), verdict.NotRun)
	is.NoErr(r.process.Signal(syscall.SIGCONT))
	is.Equal(c.Fence(testCtx(t, testTimeout), r.addr, r.rpc, lost.Attempt), fence.NeverWillRun)
	query := request(3)
	query.Target = "/runs"
	resp, err := c.Do(testCtx(t, testTimeout), r.addr, query)
	is.NoErr(err)
	is.Equal(string(resp.Body), "0")
}

// Guards against a wrong verdict when the receiver is killed before, during or after the run.
func TestReceiverKilled(t *testing.T) {
	t.Run("before", func(t *testing.T) {
		is := is.New(t)
		r := startReceiver(t)
		c := newTestClient(t)
		is.NoErr(c.Prepare(testCtx(t, testTimeout), r.addr, 2))
		r.kill(t)
		_, err := c.Do(testCtx(t, testTimeout), r.addr, request(1))
		is.Equal(verdict.Of(err), verdict.NotRun)
	})
	t.Run("during", func(t *testing.T) {
		is := is.New(t)
		r := startReceiver(t)
		c := newTestClient(t)
		result := make(chan error, 1)
		hang := request(1)
		hang.Target = "/hang"
		go func() {
			_, err := c.Do(testCtx(t, testTimeout), r.addr, hang)
			result <- err
		}()
		query := request(2)
		query.Target = "/runs"
		for { // until the request runs
			resp, err := c.Do(testCtx(t, testTimeout), r.addr, query)
			is.NoErr(err)
			query.Attempt.Seq++
			if string(resp.Body) == "1" {
				break
			}
		}
		r.kill(t)
		is.Equal(verdict.Of(<-result), verdict.MayHaveRun)
		is.Equal(c.Fence(testCtx(t, testTimeout), r.addr, r.rpc, hang.Attempt), fence.Unknown)
	})
	t.Run("after", func(t *testing.T) {
		is := is.New(t)
		r := startReceiver(t)
		c := newTestClient(t)
		resp, err := c.Do(testCtx(t, testTimeout), r.addr, request(1))
		is.NoErr(err)
		is.Equal(resp.Verdict, verdict.Ran)
		r.kill(t)
		_, err = c.Do(testCtx(t, testTimeout), r.addr, request(2))
		is.Equal(verdict.Of(err), verdict.NotRun)
	})
}
