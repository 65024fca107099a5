package capacity

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

// Guards against a solver that loses a coefficient because the sizes differ by orders of magnitude.
func TestLeastSquaresFindsExactModel(t *testing.T) {
	is := is.New(t)
	want := fit{2, 0.01, 0.001, 0.005, 3}
	var list []observation
	for _, x := range [][sizes]float64{
		{1, 5, 16000, 1400, 0}, {1, 5, 16000, 1400, 0.27}, {1, 20, 16000, 1400, 0},
		{1, 5, 500, 1400, 0.27}, {1, 5, 16000, 100, 0}, {1, 40, 8000, 1400, 1},
	} {
		list = append(list, observation{x: x, y: want.at(x)})
	}
	got, err := leastSquares(list)
	is.NoErr(err)
	for i := range want {
		is.True(math.Abs(got[i]-want[i]) < 1e-6)
	}
}

// Guards against invented slopes where nothing was varied.
func TestLeastSquaresRefusesUnvariedSizes(t *testing.T) {
	is := is.New(t)
	_, err := leastSquares([]observation{{x: [sizes]float64{1, 5, 1, 1, 1}, y: 1}, {x: [sizes]float64{1, 6, 1, 1, 1}, y: 2}})
	is.Equal(err, errSingular)
}
