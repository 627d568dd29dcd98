package entry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"pollenpaddle/internal/connection/session"
	"pollenpaddle/internal/connection/wire"
)

// Guards against a message that ends the session with an agent of an earlier release, which does not know it.
func TestOrderForEarlierRelease(t *testing.T) {
	timed := &wire.TimedOrder{Order: wire.RunOrder{Job: "a"}, Predicted: time.Second}
	gomega.NewWithT(t).Expect(supportedOrder(&session.Session{}, timed)).To(gomega.Equal(&wire.RunOrder{Job: "a"}))
}
