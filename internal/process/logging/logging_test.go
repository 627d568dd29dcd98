package logging_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"pollenpaddle/internal/process/logging"
)

func TestLogging(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "logging")
}

// tableLine returns the line of docs/logs.md that describes an event.
func tableLine(e logging.Event) string {
	return fmt.Sprintf("| %d | %s | %s | %s |", e.Number, e.Level, e.Message, e.Meaning)
}

var _ = ginkgo.Describe("docs/logs.md", func() {
	// Guards against undocumented events, and against documented events that no longer exist.
	// POLLENPADDLE_WRITE_CATALOGUE=1 rewrites the table.
	ginkgo.It("lists exactly the events of the code", func() {
		const path = "../../../docs/logs.md"
		content, err := os.ReadFile(path)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		head, _, found := strings.Cut(string(content), "| 1")
		gomega.Expect(found).To(gomega.BeTrue())
		var want strings.Builder
		want.WriteString(head)
		for _, e := range logging.Events() {
			want.WriteString(tableLine(e) + "\n")
		}
		if os.Getenv("POLLENPADDLE_WRITE_CATALOGUE") == "1" {
			gomega.Expect(os.WriteFile(path, []byte(want.String()), 0o644)).To(gomega.Succeed())
			return
		}
		gomega.Expect(string(content)).To(gomega.Equal(want.String()))
	})
})

var _ = ginkgo.Describe("Log", func() {
	// Guards against lines without the event number by which operators search.
	ginkgo.It("writes the number of the event and its fields", func() {
		core, lines := observer.New(zap.InfoLevel)
		logging.Log(zap.New(core), logging.ProcessStarted, zap.String("address", "a"))
		gomega.Expect(lines.All()).To(gomega.HaveLen(1))
		gomega.Expect(lines.All()[0].ContextMap()).To(gomega.Equal(map[string]any{"event": int64(1001), "address": "a"}))
	})
})
