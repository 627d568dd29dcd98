package budget_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"pollenpaddle/internal/connection/budget"
)

// Guards against a sender that keeps its grant by sending a little now and then, and against one that is refused because the
// process was paused.
func TestRateOfABody(t *testing.T) {
	for name, sender := range map[string]struct {
		bytes   int // of each read
		took    time.Duration
		reads   int
		tooSlow bool
	}{
		"stops":               {0, budget.MaxReadTime, 10, true},
		"stops for less":      {0, budget.MaxReadTime, 9, false},
		"a byte now and then": {1, 300 * time.Millisecond, 17, true},
		"at the minimum rate": {4 << 10, 500 * time.Millisecond, 1000, false},
		"below it":            {3 << 10, 500 * time.Millisecond, 10, true},
		"paused process":      {0, time.Minute, 9, false},
		"fast":                {16 << 10, time.Millisecond, 1000, false},
	} {
		t.Run(name, func(t *testing.T) {
			var rate budget.Rate
			tooSlow := false
			for range sender.reads {
				tooSlow = tooSlow || rate.Read(sender.bytes, sender.took)
			}
			gomega.NewWithT(t).Expect(tooSlow).To(gomega.Equal(sender.tooSlow))
		})
	}
}
