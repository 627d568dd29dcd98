package main

import "testing"

// Guards against a configuration of the largest measured size that the catalogue rejects, so that the slopes
// could not be measured, and against a change that does not grow with its routes only.
func TestMeasureRouting(t *testing.T) {
	s := &suite{scale: 1}
	if err := measureRouting(s); err != nil {
		t.Fatal(err)
	}
	for _, l := range s.slopes {
		t.Logf("%s: %.4g ± %.2g %s, intercept %.4g, points %v", l.Name, l.Fit.Slope, l.Fit.SlopeError, l.Unit, l.Fit.Intercept, l.Points)
	}
	if bytes := s.slopes[0]; bytes.Fit.SlopeError > bytes.Fit.Slope/10 {
		t.Errorf("%s: slope %.4g ± %.2g, want a line", bytes.Name, bytes.Fit.Slope, bytes.Fit.SlopeError)
	}
}
