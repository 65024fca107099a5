package cmd

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"kingcupwood.example/kingcupwood/agent/operator"
	client "kingcupwood.example/kingcupwood/agent/store"
	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
	"kingcupwood.example/kingcupwood/standin/platform"
)

type stubDaemon struct{}

func (stubDaemon) Snapshot() *snapshot.Snapshot          { return nil }
func (stubDaemon) Endpoints() *endpoint.View             { return nil }
func (stubDaemon) LastRefused() (operator.Refusal, bool) { return operator.Refusal{}, false }

// startAdministration serves the administration API on a stand-in platform with one operator. It
// returns a client of the platform and the path of the operator's settings file.
func startAdministration(t *testing.T, services ...string) (*client.Client, string) {
	t.Helper()
	digest := snapshot.HashOf([]byte("secret"))
	store := httptest.NewServer(platform.NewServer(platform.Config{Table: "t", Bucket: "bucket",
		Operators: []platform.Operator{{Name: "ana", TokenSHA256: digest.String(), Services: services}}}, event.Nop()))
	c, err := client.NewClient(client.Config{TableURL: store.URL, ObjectsURL: store.URL, Table: "t", Bucket: "bucket",
		AccessKey: "k", SecretKey: "s"}, event.Nop())
	if err != nil {
		t.Fatal(err)
	}
	api := httptest.NewServer(operator.New(operator.Config{Platform: c, Daemon: stubDaemon{}}, event.Nop()))
	t.Cleanup(func() {
		api.Close()
		c.Close()
		store.Close()
		http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	})
	return c, settingsFile(t, "[administration]\naddresses = "+api.Listener.Addr().String()+"\ntoken = secret\n")
}

// Verifies that commands, API, client and stand-in work together: a team submits the example answers,
// accepts them, revises them and withdraws the revision.
func TestCommandsAgainstStandin(t *testing.T) {
	is := is.New(t)
	c, settings := startAdministration(t, "finder")
	run := func(args ...string) int { return Main(append(args, "--settings", settings), nil) }
	accept := func(file string, seen int) int {
		data, err := os.ReadFile(file)
		is.NoErr(err)
		is.Equal(run("answers", "submit", file), exitOK)
		is.Equal(run("config", "diff", "finder"), exitOK)
		return run("config", "accept", "--draft", snapshot.HashOf(data).String(), "--seen", strconv.Itoa(seen), "finder")
	}
	example := filepath.Join("..", "..", "examples", "association", "finder.ini")
	is.Equal(accept(example, 0), exitOK)

	data, err := os.ReadFile(example)
	is.NoErr(err)
	revised := filepath.Join(t.TempDir(), "finder.ini")
	is.NoErr(os.WriteFile(revised, append(data, "\n[kind suggest]\nmatch = GET /suggest\nrank = 6\nidempotent = yes\ndeadline = 300ms\nexpected-rate = 10/s\nservice-time = 2ms\nworth = 1\nobjective = 95%\n"...), 0o600))
	is.Equal(accept(revised, 0), exitFailed) // --seen is not the version in force
	is.Equal(accept(revised, 1), exitOK)
	is.Equal(run("config", "withdraw", "--to", "1", "--seen", "2", "finder"), exitOK)
	is.Equal(run("config", "show", "finder"), exitOK)
	is.Equal(run("config", "status"), exitOK)

	shown, err := c.Service(t.Context(), "finder")
	is.NoErr(err)
	is.Equal(shown.Version, snapshot.Version(3))
	is.Equal(string(shown.Answers), string(data))
	is.Equal(run("answers", "submit", filepath.Join("..", "..", "examples", "association", "pages.ini")), exitFailed) // service of another team
}
