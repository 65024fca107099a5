package verdict

import (
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// Guards against an unclassified error being reported to a caller as not run.
func TestErrorWithoutVerdictMayHaveRun(t *testing.T) {
	is := is.New(t)
	is.Equal(Of(errors.New("reset")), MayHaveRun)
	is.Equal(Of(errors.Wrap(Wrap(NotRun, errors.New("queue full")), "send")), NotRun)
	is.Equal(Of(nil), Ran)
	v, err := Parse("maybe")
	is.True(err != nil)
	is.Equal(v, MayHaveRun)
}

// Guards against header values that do not survive a round trip between daemons.
func TestParseRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, v := range []Verdict{MayHaveRun, NotRun, Ran} {
		got, err := Parse(v.String())
		is.NoErr(err)
		is.Equal(got, v)
	}
}
