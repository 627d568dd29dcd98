package agent

import (
	"testing"

	"github.com/onsi/gomega"

	"pollenpaddle/internal/connection/session"
	"pollenpaddle/internal/connection/wire"
)

// Guards against a message that ends the session with an entry of an earlier release, which does not know it.
func TestSpeedForEarlierRelease(t *testing.T) {
	expect := gomega.NewWithT(t)
	expect.Expect(understands(&session.Session{}, &wire.WorkerSpeed{})).To(gomega.BeFalse())
	expect.Expect(understands(&session.Session{}, &wire.WorkerState{})).To(gomega.BeTrue())
}
