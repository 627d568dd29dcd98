package entry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"pollenpaddle/internal/connection/session"
	"pollenpaddle/internal/connection/wire"
)

// Guards against a message that ends the session with an agent of the earlier release, which does not know it.
func TestOrderWithoutRank(t *testing.T) {
	ranked := &wire.RankedOrder{Order: wire.TimedOrder{Order: wire.RunOrder{Job: "a"}, Predicted: time.Second}, In: time.Second}
	gomega.NewWithT(t).Expect(supportedOrder(&session.Session{}, ranked)).To(gomega.Equal(&wire.RunOrder{Job: "a"}))
}
