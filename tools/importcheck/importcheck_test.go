package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// writeSource writes a Go file of package p, with the given declarations, below root.
func writeSource(t *testing.T, root, path, body string) {
	t.Helper()
	path = filepath.Join(root, path)
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte("package p\n\n"+body+"\n"), 0o644); err != nil {
		t.Fatal(err)
	}
}

// TestLayers guards against an import of a higher layer that is not reported, and against a report
// of an import that is allowed.
func TestLayers(t *testing.T) {
	expect := gomega.NewWithT(t)
	root := t.TempDir()
	write := func(path, imported string) {
		writeSource(t, root, path, "import _ \"pollenpaddle/"+imported+"\"")
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

// TestPlatform guards against platform names outside their folder that are not reported, and against
// reports for the folder itself and for the daemon's main package.
func TestPlatform(t *testing.T) {
	expect := gomega.NewWithT(t)
	root := t.TempDir()
	constants := `const pathReady = "/ready-path"`
	writeSource(t, root, "platform/words.go", constants)
	writeSource(t, root, "platform/use.go", `const use = "/ready-path/x"`)
	writeSource(t, root, "cmd/pollenpaddled/main.go", `import _ "pollenpaddle/platform"`)
	found, err := checkPlatform(root)
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	expect.Expect(found).To(gomega.BeEmpty())

	writeSource(t, root, "internal/process/entry/bad.go", `import _ "pollenpaddle/platform"`)
	writeSource(t, root, "internal/process/entry/bad_test.go", `const path = "/ready-path"`)
	found, err = checkPlatform(root)
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	expect.Expect(found).To(gomega.ConsistOf(
		gomega.ContainSubstring("only the daemon's main package may import pollenpaddle/platform"),
		gomega.ContainSubstring("belongs to the platform"),
	))
}

// TestDecisions guards against I/O and concurrency in decision packages that are not reported, and
// against a listed folder that is missing and therefore would not be checked.
func TestDecisions(t *testing.T) {
	expect := gomega.NewWithT(t)
	root := t.TempDir()
	for _, pattern := range decisionPackages {
		writeSource(t, root, filepath.Join(strings.TrimSuffix(pattern, "/..."), "good.go"), `import _ "time"`)
	}
	found, err := checkDecisions(root)
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	expect.Expect(found).To(gomega.BeEmpty())

	writeSource(t, root, "internal/request/runner/bad.go", "import (\n\t\"os\"\n\t\"time\"\n)\n\nvar _ = os.Args\n\nfunc f() { go f(); time.Sleep(1) }")
	writeSource(t, root, "internal/request/runner/ring.go", `import _ "pollenpaddle/internal/ring"`)
	found, err = checkDecisions(root)
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	expect.Expect(found).To(gomega.ConsistOf(
		gomega.ContainSubstring("must not import os"),
		gomega.ContainSubstring("must not start a goroutine"),
		gomega.ContainSubstring("must not call time.Sleep"),
		gomega.ContainSubstring("must not import pollenpaddle/internal/ring"),
	))

	expect.Expect(os.RemoveAll(filepath.Join(root, "internal/model"))).To(gomega.Succeed())
	_, err = checkDecisions(root)
	expect.Expect(err).To(gomega.HaveOccurred())
}
