package cmd

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/standin/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func settingsFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "operator.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Verifies that success, failure and an unknown outcome have different exit codes. Scripts could
// otherwise treat an unknown outcome as a failure or a success, or a failure as a usage error.
func TestExitCodes(t *testing.T) {
	for _, c := range []struct {
		status int
		body   string
		want   int
	}{
		{http.StatusOK, `{"state":"accepted","change":{"version":2}}`, exitOK},
		{http.StatusAccepted, `{"state":"not known yet","token":"t"}`, exitOutcomeUnknown},
		{http.StatusConflict, `{"error":{"code":"conflict","message":"not accepted"}}`, exitFailed},
	} {
		is := is.New(t)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			is.Equal(r.Header.Get("Authorization"), "Bearer secret")
			w.Header().Set("Connection", "close")
			w.WriteHeader(c.status)
			fmt.Fprint(w, c.body)
		}))
		path := settingsFile(t, "[administration]\naddresses = "+server.Listener.Addr().String()+"\ntoken = secret\n")
		is.Equal(Main([]string{"config", "accept", "--settings", path, "--seen", "1", "--draft", "00", "pages"}, nil), c.want)
		server.Close()
	}
}

// Verifies that commands reject an invalid settings file and missing required options.
func TestUsage(t *testing.T) {
	is := is.New(t)
	is.Equal(Main([]string{"config", "accept", "pages"}, nil), exitUsage)
	is.Equal(Main([]string{"config", "status", "--settings", settingsFile(t, "[administration]\ntokn = x\n")}, nil), exitFailed)
	is.Equal(Main([]string{"platform", "--settings", settingsFile(t, "[platform]\n")}, nil), exitFailed)
	// Without --seen, a change whose outcome is unknown could be reported as not accepted.
	is.Equal(Main([]string{"config", "status", "--settings", settingsFile(t, ""), "--change", "token"}, nil), exitUsage)
	for _, c := range []string{"show", "diff", "accept", "withdraw", "status"} {
		is.Equal(Main([]string{"config", c, "--help"}, nil), exitOK)
	}
	for _, c := range []string{"new", "check", "submit"} {
		is.Equal(Main([]string{"answers", c, "--help"}, nil), exitOK)
	}
}

// Verifies that the stand-in stops when its context is canceled.
func TestServePlatformStops(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- servePlatform(ctx, listener, platform.Config{Table: "t", Bucket: "b"}, event.Nop()) }()
	response, err := http.Get("http://" + listener.Addr().String() + platform.CountersPath)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	cancel()
	is.NoErr(<-done)
	http.DefaultClient.CloseIdleConnections()
}
