package settings_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/process/settings"
)

func TestSettings(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "settings")
}

func writeFile(content string) string {
	path := filepath.Join(ginkgo.GinkgoT().TempDir(), "test.ini")
	gomega.Expect(os.WriteFile(path, []byte(content), 0o600)).To(gomega.Succeed())
	return path
}

const validSettings = "[process]\nid = vm1\navailability_zone = subiaco\ndata_folder = data\n"

var _ = ginkgo.Describe("Load", func() {
	ginkgo.It("fills in defaults", func() {
		s, err := settings.Load(writeFile(validSettings))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(s.Process.Listen).To(gomega.Equal("127.0.0.1:7400"))
		gomega.Expect(s.Process.Roles).To(gomega.HaveLen(3))
		gomega.Expect(s.Entry.ResultRetention).To(gomega.Equal(10 * time.Minute))
	})

	// Guards against invalid settings that are silently ignored or replaced by a default, and against
	// messages without file, section, key, value and remedy.
	ginkgo.DescribeTable("rejects",
		func(content, section, key, value, remedy string) {
			path := writeFile(content)
			_, err := settings.Load(path)
			gomega.Expect(failure.KindOf(err)).To(gomega.Equal(failure.InvalidArgument))
			for _, part := range []string{path, "[" + section + "]", key, value, remedy} {
				gomega.Expect(err.Error()).To(gomega.ContainSubstring(part))
			}
		},
		ginkgo.Entry("an unknown key", validSettings+"slots = 3\n", "process", "slots", `"3"`, "remove the key"),
		ginkgo.Entry("an unknown section", validSettings+"[extra]\na = 1\n", "extra", "", "", "use [adapter], [agent], [control], [entry], [process]"),
		ginkgo.Entry("a missing id", "[process]\navailability_zone = z\n", "process", "id", `""`, "required"),
		ginkgo.Entry("an unknown role", validSettings+"roles = entry, proxy\n", "process", "roles", `"proxy"`, "use entry, agent or control"),
		ginkgo.Entry("an address without port", validSettings+"listen = localhost\n", "process", "listen", `"localhost"`, "host:port"),
		ginkgo.Entry("a number out of range", validSettings+"[entry]\nmax_tasks = 111\n", "entry", "max_tasks", `"111"`, "from 1 to 110"),
		ginkgo.Entry("a body limit above 8 MiB", validSettings+"[entry]\nmax_body_bytes = 8388609\n", "entry", "max_body_bytes", `"8388609"`, "from 1024 to 8388608"),
		// The agent rejects such an upstream, so the process used to fail after its settings had passed the check.
		ginkgo.Entry("more connections than the agent accepts", validSettings+"[agent]\nconnections = 4097\n", "agent", "connections", `"4097"`, "4096"),
		ginkgo.Entry("a number with a unit", validSettings+"[agent]\nslots = 8 cores\n", "agent", "slots", `"8 cores"`, "whole number"),
		ginkgo.Entry("an invalid duration", validSettings+"[entry]\nresult_retention = 10\n", "entry", "result_retention", `"10"`, "duration"),
		ginkgo.Entry("an unknown policy", validSettings+"[entry]\npolicy = bogus\n", "entry", "policy", `"bogus"`, "random, two_choices"),
		ginkgo.Entry("an invalid choice", validSettings+"log_level = loud\n", "process", "log_level", `"loud"`, "debug, info, warn, error"),
		ginkgo.Entry("a short entry timeout", validSettings+"[control]\nentry_timeout = 1s\n", "control", "entry_timeout", `"1s"`, "from 5s"),
		ginkgo.Entry("a control role without a data folder", "[process]\nid = a\navailability_zone = z\n", "process", "data_folder", `""`, "local disk"),
		ginkgo.Entry("members without this process", validSettings+"control_members = b@127.0.0.1:1\n", "process", "control_members", `"127.0.0.1:1"`, "this process"),
		ginkgo.Entry("a member without a port", validSettings+"control_members = vm1@127.0.0.1\n", "process", "control_members", `"vm1@127.0.0.1"`, "NAME@HOST:PORT"),
		ginkgo.Entry("two members with one address", validSettings+"control_members = vm1@127.0.0.1:1, b@127.0.0.1:1\n", "process", "control_members", `"b@127.0.0.1:1"`, "once"),
		ginkgo.Entry("a seed without a port", validSettings+"control_seeds = 10.0.0.1\n", "process", "control_seeds", `"10.0.0.1"`, "HOST:PORT"),
		ginkgo.Entry("both members and seeds", validSettings+"control_seeds = 10.0.0.1:1\ncontrol_members = vm1@127.0.0.1:1\n", "process", "control_members", `"vm1@127.0.0.1:1"`, "either"),
		ginkgo.Entry("a port out of range", validSettings+"control_port = 70000\n", "process", "control_port", `"70000"`, "from 0 to 65535"),
		ginkgo.Entry("an invalid boolean", validSettings+"bootstrap = yes\n", "process", "bootstrap", `"yes"`, "true, false"),
		ginkgo.Entry("an unknown network mode", validSettings+"network = open\n", "process", "network", `"open"`, "authenticated, trusted"),
		ginkgo.Entry("an adapter's address without port", validSettings+"[adapter]\ncallers = 10.0.0.1\n", "adapter", "callers", `"10.0.0.1"`, "host:port"),
		ginkgo.Entry("too many tolerated losses", validSettings+"[control]\ntolerated_losses = 5\n", "control", "tolerated_losses", `"5"`, "from 0 to 4"),
	)

	// Guards against seeking the control members at the port of another service on the seed hosts.
	ginkgo.It("replaces the ports of the seeds", func() {
		s, err := settings.Load(writeFile(validSettings + "control_seeds = 10.0.0.1:81, 10.0.0.2:81, 10.0.0.1:82\ncontrol_port = 7720\nbootstrap = false\n"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(s.Process.ControlSeeds).To(gomega.Equal([]string{"10.0.0.1:7720", "10.0.0.2:7720"}))
		gomega.Expect(s.Process.AutomaticMembership()).To(gomega.BeTrue())
		gomega.Expect(s.Process.Bootstrap).To(gomega.BeFalse())
	})

	ginkgo.It("lists all problems at once", func() {
		_, err := settings.Load(writeFile("[process]\nlog_level = loud\n[agent]\nslots = 0\n"))
		gomega.Expect(err.Error()).To(gomega.And(gomega.ContainSubstring("log_level"), gomega.ContainSubstring("slots"), gomega.ContainSubstring("key id")))
	})
})

var _ = ginkgo.Describe("docs/settings.md", func() {
	// Guards against an undocumented key and against a documented key that Load rejects.
	ginkgo.It("lists exactly the known keys", func() {
		page, err := os.ReadFile("../../../docs/settings.md")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		heading, row := regexp.MustCompile(`^## \[([a-z_]+)\]$`), regexp.MustCompile("^\\| `([^`]+)` \\|")
		section, listed := "", []string{}
		for _, line := range strings.Split(string(page), "\n") {
			if match := heading.FindStringSubmatch(line); match != nil {
				section = match[1]
			} else if match := row.FindStringSubmatch(line); match != nil {
				listed = append(listed, section+"."+match[1])
			}
		}
		gomega.Expect(settings.Keys()).NotTo(gomega.BeEmpty())
		gomega.Expect(listed).To(gomega.ConsistOf(settings.Keys()))
	})
})
