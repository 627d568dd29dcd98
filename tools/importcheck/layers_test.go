package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"
)

// TestLayers guards against a lower layer that imports a higher one without being reported, and
// against a report for an import that is allowed.
func TestLayers(t *testing.T) {
	expect := gomega.NewWithT(t)
	root := t.TempDir()
	write := func(path, imported string) {
		path = filepath.Join(root, path)
		expect.Expect(os.MkdirAll(filepath.Dir(path), 0o755)).To(gomega.Succeed())
		text := "package p\n\nimport _ \"pollenpaddle/" + imported + "\"\n"
		expect.Expect(os.WriteFile(path, []byte(text), 0o644)).To(gomega.Succeed())
	}
	write("internal/connection/wire/allowed.go", "internal/model/job")
	write("internal/version/catalog/same.go", "internal/version/lease")
	write("internal/standin/outside.go", "internal/process/agent")
	write("internal/version/replica/replica_test.go", "internal/process/control")
	found, err := checkLayers(root)
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	expect.Expect(found).To(gomega.BeEmpty())

	write("internal/version/replica/bad.go", "internal/connection/session")
	write("internal/model/run/bad.go", "internal/request/runner")
	found, err = checkLayers(root)
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	expect.Expect(found).To(gomega.ConsistOf(
		gomega.ContainSubstring("internal/version/replica must not import internal/connection/session"),
		gomega.ContainSubstring("internal/model/run must not import internal/request/runner"),
	))
}
