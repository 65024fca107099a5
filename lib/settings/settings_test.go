package settings

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

type testConfig struct {
	Daemon struct {
		Listen netip.AddrPort   `key:"listen"`
		Seeds  []netip.AddrPort `key:"seeds" optional:"true"`
		Wait   time.Duration    `key:"wait" default:"3s"`
		Verify bool             `key:"verify" default:"yes"`
	} `section:"daemon"`
}

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "daemon.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Guards against defaults and lists that are ignored without an error.
func TestLoad(t *testing.T) {
	is := is.New(t)
	var c testConfig
	path := write(t, "[daemon]\nlisten = 127.0.0.1:7000\nseeds = 127.0.0.1:7001, 127.0.0.1:7002\n")
	is.NoErr(Load(path, &c))
	is.Equal(c.Daemon.Wait, 3*time.Second)
	is.Equal(len(c.Daemon.Seeds), 2)
	is.True(c.Daemon.Verify)
}

// Guards against settings files with misspelt names, invalid values or missing values that are
// accepted, and against errors that are left out of the message.
func TestLoadReportsEveryError(t *testing.T) {
	is := is.New(t)
	var c testConfig
	path := write(t, "[daemon]\nlissen = 127.0.0.1:7000\nwait = 3\n[demon]\nx = 1\n")
	err := Load(path, &c)
	is.True(err != nil)
	for _, want := range []string{
		path + `: section [daemon]: key "listen": a value is required`,
		`section [daemon]: key "lissen": unknown key`,
		`key "wait": "3" is not a duration with a unit`,
		`section [demon]: unknown section`,
	} {
		is.True(strings.Contains(err.Error(), want)) // the error is missing from the message
	}
}
