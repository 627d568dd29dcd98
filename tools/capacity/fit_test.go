package main

import (
	"math"
	"testing"
)

// Guards against a wrong slope or standard error, from which all published capacity figures follow.
// The expected values are calculated by hand: slope 1.5, residuals -1/6, 1/3, -1/6.
func TestFitLine(t *testing.T) {
	f, err := fitLine([]point{{1, 1}, {2, 3}, {3, 4}})
	if err != nil {
		t.Fatal(err)
	}
	want := fit{Slope: 1.5, SlopeError: math.Sqrt(1.0 / 12), Intercept: -1.0 / 3, InterceptError: math.Sqrt(1.0 / 6 * (1.0/3 + 2))}
	for _, c := range [][2]float64{{f.Slope, want.Slope}, {f.SlopeError, want.SlopeError}, {f.Intercept, want.Intercept}, {f.InterceptError, want.InterceptError}} {
		if math.Abs(c[0]-c[1]) > 1e-9 {
			t.Fatalf("got %+v, want %+v", f, want)
		}
	}
}

// Guards against a fit with a standard error of zero from points that do not determine the error.
func TestFitLineRejectsTooFewPoints(t *testing.T) {
	for _, points := range [][]point{nil, {{1, 1}, {2, 2}}, {{1, 1}, {1, 2}, {1, 3}}} {
		if _, err := fitLine(points); err == nil {
			t.Fatalf("fitLine accepted %v", points)
		}
	}
}
