package row

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a figure below its smallest value, or a count that must be zero, that is printed as ok, and
// against a figure without a bound that is printed as over.
func TestOver(t *testing.T) {
	is := is.New(t)
	is.True(Row{Value: 89, Least: 90}.Over())
	is.True(!Row{Value: 90, Least: 90}.Over())
	is.True(Row{Value: 1, Never: true}.Over())
	is.True(!Row{Never: true}.Over())
	is.True(Row{Value: 2, Bound: 1}.Over())
	is.True(!Row{Value: 2}.Over())
	is.True(!Row{Value: -1}.Over()) // a difference of two figures may be negative
	var out strings.Builder
	is.NoErr(Row{Name: "share", Value: 89, Unit: "%", Least: 90}.Write(&out))
	is.Equal(strings.Join(strings.Fields(out.String()), " "), "share 89 % >=90 over")
}
