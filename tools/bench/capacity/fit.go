// Package capacity fits slopes to measured deployments and works out what daemons and the platform
// need at the target of the design.
package capacity

import (
	"math"

	"github.com/pkg/errors"
)

// Sizes of a deployment on which a figure depends, in the order of the coefficients of a Fit. The
// first is the constant part.
const (
	constant = iota
	perDaemon
	perRecord
	perService
	perChange
	sizes
)

// observation is one measured figure.
type observation struct {
	// x holds the sizes, with 1 at constant.
	x [sizes]float64
	y float64
}

// fit holds the coefficients of a linear model.
type fit [sizes]float64

// errSingular tells that the observations do not vary in every size.
var errSingular = errors.New("the measured deployments do not vary in every size")

// leastSquares fits a linear model. Slopes below 0 are kept, as they show the noise of a figure.
func leastSquares(list []observation) (fit, error) {
	var matrix [sizes][sizes + 1]float64
	scale := largest(list)
	for _, o := range list {
		for i := range sizes {
			for j := range sizes {
				matrix[i][j] += o.x[i] / scale[i] * o.x[j] / scale[j]
			}
			matrix[i][sizes] += o.x[i] / scale[i] * o.y
		}
	}
	solution, err := solve(&matrix)
	for i := range solution {
		solution[i] /= scale[i]
	}
	return solution, err
}

// largest returns the largest value of each size, by which they are scaled for numeric stability.
func largest(list []observation) [sizes]float64 {
	var scale [sizes]float64
	for i := range scale {
		for _, o := range list {
			scale[i] = max(scale[i], math.Abs(o.x[i]))
		}
		if scale[i] == 0 {
			scale[i] = 1
		}
	}
	return scale
}

// solve solves the normal equations by Gauss-Jordan elimination with partial pivoting.
func solve(m *[sizes][sizes + 1]float64) (fit, error) {
	const smallest = 1e-9
	for column := range sizes {
		pivot := column
		for r := column + 1; r < sizes; r++ {
			if math.Abs(m[r][column]) > math.Abs(m[pivot][column]) {
				pivot = r
			}
		}
		if math.Abs(m[pivot][column]) < smallest {
			return fit{}, errSingular
		}
		m[column], m[pivot] = m[pivot], m[column]
		for r := range sizes {
			if r == column {
				continue
			}
			factor := m[r][column] / m[column][column]
			for c := column; c <= sizes; c++ {
				m[r][c] -= factor * m[column][c]
			}
		}
	}
	var f fit
	for i := range f {
		f[i] = m[i][sizes] / m[i][i]
	}
	return f, nil
}

// at returns the value of the model for the given sizes.
func (f fit) at(x [sizes]float64) float64 {
	sum := 0.0
	for i := range f {
		sum += f[i] * x[i]
	}
	return sum
}
