package cmd

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"kingcupwood.example/kingcupwood/agent"
)

// Verifies that key files are readable only by their owner, never replace existing files and are
// accepted by the daemon, and that errors about an incomplete [security] section or invalid files name
// the settings key.
func TestKeys(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	path := func(name string) string { return filepath.Join(dir, name) }
	issue := func(address, name string) int {
		return Main([]string{"keys", "issue", "--authority", path("ca.crt"), "--authority-key", path("ca.key"),
			"--address", address, "--certificate", path(name + ".crt"), "--private-key", path(name + ".key")}, nil)
	}
	authority := []string{"keys", "new-authority", "--certificate", path("ca.crt"), "--private-key", path("ca.key")}
	is.Equal(Main(authority, nil), exitOK)
	is.Equal(issue("127.0.0.1", "a"), exitOK)
	is.Equal(issue("host.example", "b"), exitFailed)
	is.Equal(Main([]string{"keys", "new-probe-key", "--output", path("probe.keys")}, nil), exitOK)
	read := func(file string) string {
		data, err := os.ReadFile(file)
		is.NoErr(err)
		return string(data)
	}
	before := read(path("ca.key"))
	is.NoErr(os.Remove(path("a.key")))
	for _, again := range []int{Main(authority, nil), issue("127.0.0.1", "a"), Main([]string{"keys", "new-probe-key", "--output", path("probe.keys")}, nil)} {
		is.Equal(again, exitFailed)
	}
	is.Equal(read(path("ca.key")), before)
	_, err := os.Stat(path("a.key"))
	is.True(os.IsNotExist(err)) // a failed issue leaves no file
	is.Equal(issue("127.0.0.1", "c"), exitOK)
	for _, name := range []string{"ca.crt", "ca.key", "c.crt", "c.key", "probe.keys"} {
		info, err := os.Stat(path(name))
		is.NoErr(err)
		is.Equal(info.Mode().Perm(), os.FileMode(keyFileMode))
	}

	example := read(filepath.Join(settingsExample, "daemon-1.ini"))
	load := func(lines ...string) string {
		_, err := agent.LoadSettings(settingsFile(t, example+"\n[security]\n"+strings.Join(lines, "\n")))
		return fmt.Sprint(err)
	}
	good := []string{"certificate = " + path("c.crt"), "private-key = " + path("c.key"), "authority = " + path("ca.crt"), "probe-keys = " + path("probe.keys")}
	is.Equal(load(good...), "<nil>")
	is.Equal(load(), "<nil>") // an empty section disables security
	half := load(good[0], good[2])
	is.True(strings.Contains(half, `section [security]: key "private-key": must name a file`))
	is.True(strings.Contains(half, `section [security]: key "probe-keys": must name a file`))
	for n, key := range []string{"certificate", "private-key", "authority", "probe-keys"} {
		lines := append([]string{}, good...)
		lines[n] = key + " = " + path("missing")
		is.True(strings.Contains(load(lines...), `section [security]: key "`+key+`": `+path("missing")+": no such file"))
	}
	is.True(strings.Contains(load(good[0], "private-key = "+path("ca.key"), good[2], good[3]), `key "private-key"`))
	is.True(strings.Contains(load(good[0], good[1], "authority = "+path("c.crt"), good[3]), `key "authority"`))
}
