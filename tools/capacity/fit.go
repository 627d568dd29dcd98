package main

import (
	"errors"
	"math"
)

// point is one measured value Y at size X.
type point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// fit is a straight line fitted by least squares.
type fit struct {
	Slope          float64 `json:"slope"`
	SlopeError     float64 `json:"slope_error"` // standard error of the slope
	Intercept      float64 `json:"intercept"`
	InterceptError float64 `json:"intercept_error"`
}

// fitLine fits a line to at least three points; two leave no residual to estimate the error from.
func fitLine(points []point) (fit, error) {
	n := float64(len(points))
	if n < 3 {
		return fit{}, errors.New("a fit with a standard error needs at least three points")
	}
	var meanX, meanY float64
	for _, p := range points {
		meanX += p.X / n
		meanY += p.Y / n
	}
	var sxx, sxy float64
	for _, p := range points {
		sxx += (p.X - meanX) * (p.X - meanX)
		sxy += (p.X - meanX) * (p.Y - meanY)
	}
	if sxx == 0 {
		return fit{}, errors.New("all points have the same size")
	}
	f := fit{Slope: sxy / sxx}
	f.Intercept = meanY - f.Slope*meanX
	var residuals float64 // sum of squares
	for _, p := range points {
		deviation := p.Y - f.Intercept - f.Slope*p.X
		residuals += deviation * deviation
	}
	variance := residuals / (n - 2)
	f.SlopeError = math.Sqrt(variance / sxx)
	f.InterceptError = math.Sqrt(variance * (1/n + meanX*meanX/sxx))
	return f, nil
}
