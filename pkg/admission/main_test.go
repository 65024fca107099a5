package admission

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that they give the same verdict in each run.
// The flag -rapid.seed selects another one.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
