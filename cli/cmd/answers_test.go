package cmd

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// Verifies that a failed check exits with a non-zero code, so that a script does not submit the
// answers, and that no command overwrites or modifies an existing answer file.
func TestAnswersCommands(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "shop.ini")
	is.Equal(Main([]string{"answers", "new", "-o", path, "shop"}, nil), exitOK)
	is.Equal(Main([]string{"answers", "new", "-o", path, "shop"}, nil), exitFailed)
	is.Equal(Main([]string{"answers", "new", "No Name"}, nil), exitFailed)
	is.Equal(Main([]string{"answers", "new"}, nil), exitUsage)
	is.Equal(Main([]string{"answers", "check", path}, nil), exitOK)
	is.Equal(Main([]string{"answers", "check", path + ".absent"}, nil), exitFailed)

	broken := []byte("[service]\nname = shop\n")
	is.NoErr(os.WriteFile(path, broken, 0o600))
	is.Equal(Main([]string{"answers", "check", path}, nil), exitFailed)
	after, err := os.ReadFile(path)
	is.NoErr(err)
	is.Equal(after, broken)
}
