package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against fields shifted by a program name with spaces, which would give wrong CPU figures.
func TestParseStat(t *testing.T) {
	is := is.New(t)
	cpu, err := parseStat([]byte("42 (a b) c) S 1 42 42 0 -1 4194304 100 0 0 0 150 50 0 0 20 0 9 0 1 2 3"))
	is.NoErr(err)
	is.Equal(cpu, 2*time.Second)
	_, err = parseStat([]byte("42 (a) S 1"))
	is.True(err != nil)
}

// Guards against memory figures that are off by the unit.
func TestParseStatus(t *testing.T) {
	is := is.New(t)
	resident, err := parseStatus([]byte("Name:\ta\nVmHWM:\t 9000 kB\nVmRSS:\t    2048 kB\n"))
	is.NoErr(err)
	is.Equal(resident, int64(2<<20))
}
