package distribution

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the generated histories, so that each run gives the same verdict. A
// run over others is started with -rapid.seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := seed.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
