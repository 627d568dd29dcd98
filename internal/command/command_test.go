package command_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"pollenpaddle/internal/command"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/process/httpapi"
)

func TestCommand(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "command")
}

// server responds to each path with a fixed body and records the request bodies.
type server struct {
	address   string
	mu        sync.Mutex
	responses map[string]func(*fasthttp.RequestCtx)
	bodies    map[string]string
}

func newServer() *server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	s := &server{address: listener.Addr().String(), responses: map[string]func(*fasthttp.RequestCtx){}, bodies: map[string]string{}}
	web := &fasthttp.Server{Handler: s.handle}
	go func() { _ = web.Serve(listener) }()
	ginkgo.DeferCleanup(web.Shutdown)
	return s
}

func (s *server) handle(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := string(ctx.Method()) + " " + string(ctx.Path())
	s.bodies[key] = string(ctx.PostBody())
	if respond := s.responses[key]; respond != nil {
		respond(ctx)
		return
	}
	httpapi.WriteError(ctx, failure.New(failure.NotFound, "see the paths", "no such path %s", key))
}

func (s *server) respond(key, body string) {
	s.responses[key] = func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(body) }
}

func (s *server) fail(key string, kind failure.Kind) {
	s.responses[key] = func(ctx *fasthttp.RequestCtx) {
		httpapi.WriteError(ctx, failure.New(kind, "the remedy", "the message"))
	}
}

func run(args ...string) (code int, out, errors string) {
	var stdout, stderr bytes.Buffer
	code = command.Run(args, "test", command.Streams{In: strings.NewReader(""), Out: &stdout, Err: &stderr})
	return code, stdout.String(), stderr.String()
}

var _ = ginkgo.Describe("The command-line tool", func() {
	var s *server

	ginkgo.BeforeEach(func() { s = newServer() })

	job := func() string {
		path := filepath.Join(ginkgo.GinkgoT().TempDir(), "job.json")
		gomega.Expect(os.WriteFile(path, []byte(`{"organisation":"o","class":"c","tasks":[{"path":"/"}]}`), 0o600)).To(gomega.Succeed())
		return path
	}

	// Guards against a submission without an id, which would run the job twice if it is resent.
	ginkgo.It("submits with a generated id and prints the response", func() {
		s.respond("POST /v1/jobs", `{"id":"j1","state":"complete","tasks":[{"state":"done","status":200,"text":"scaled"}]}`)
		code, out, _ := run("--address", s.address, "submit", job())
		gomega.Expect(code).To(gomega.Equal(command.ExitSuccess))
		gomega.Expect(out).To(gomega.ContainSubstring("scaled"))
		var sent struct{ ID string }
		gomega.Expect(json.Unmarshal([]byte(s.bodies["POST /v1/jobs"]), &sent)).To(gomega.Succeed())
		gomega.Expect(sent.ID).To(gomega.HaveLen(36))
	})

	// Guards against a caller that cannot resend a submission whose response was lost, because the tool generated the
	// id and did not print it: the job would run twice.
	ginkgo.It("prints the id to resend a submission whose outcome is unknown", func() {
		s.fail("POST /v1/jobs", failure.MayHaveRun)
		code, _, errors := run("--address", s.address, "submit", job())
		gomega.Expect(code).To(gomega.Equal(command.ExitMayHaveRun))
		var sent struct{ ID string }
		gomega.Expect(json.Unmarshal([]byte(s.bodies["POST /v1/jobs"]), &sent)).To(gomega.Succeed())
		gomega.Expect(errors).To(gomega.ContainSubstring("--id " + sent.ID))
	})

	// Guards against an exit code by which a script cannot detect a failed job.
	ginkgo.It("exits with 7 for a failed job", func() {
		s.respond("POST /v1/jobs", `{"id":"j1","state":"failed","tasks":[{"state":"may_have_run","message":"agent lost"}]}`)
		code, out, _ := run("--address", s.address, "submit", job())
		gomega.Expect(code).To(gomega.Equal(command.ExitMayHaveRun))
		gomega.Expect(out).To(gomega.ContainSubstring("agent lost"))
	})

	// Guards against a job that is reported as final while it is still running.
	ginkgo.It("waits until the job is final", func() {
		s.respond("POST /v1/jobs", `{"id":"j1","state":"running","tasks":[{"state":"started"}]}`)
		s.respond("GET /v1/jobs/j1", `{"id":"j1","state":"complete","tasks":[{"state":"done","status":200}]}`)
		code, out, _ := run("--address", s.address, "--json", "submit", job())
		gomega.Expect(code).To(gomega.Equal(command.ExitSuccess))
		gomega.Expect(out).To(gomega.ContainSubstring(`"complete"`))
	})

	// Guards against overwriting a concurrent change of another operator.
	ginkgo.It("sends the current revision and a change id with every change", func() {
		s.respond("GET /v1/zones", `{"revision":7,"zones":[]}`)
		s.respond("PUT /v1/zones/fremantle", `{"revision":8}`)
		code, out, _ := run("--address", s.address, "zone", "out", "fremantle")
		gomega.Expect(code).To(gomega.Equal(command.ExitSuccess))
		gomega.Expect(out).To(gomega.Equal("accepted at revision 8\n"))
		gomega.Expect(s.bodies["PUT /v1/zones/fremantle"]).To(gomega.MatchRegexp(`{"expected_revision":7,"change_id":"[0-9a-f-]{36}","state":"out"}`))
	})

	// Guards against a resend that differs from its first attempt, and against a lost response after
	// which the operator does not know the flags for a resend.
	ginkgo.It("prints the flags to resend a change whose outcome is unknown", func() {
		s.respond("GET /v1/zones", `{"revision":7,"zones":[]}`)
		s.fail("PUT /v1/zones/fremantle", failure.MayHaveRun)
		code, _, errors := run("--address", s.address, "zone", "out", "fremantle")
		gomega.Expect(code).To(gomega.Equal(command.ExitMayHaveRun))
		gomega.Expect(errors).To(gomega.MatchRegexp("--change-id [0-9a-f-]{36} --expected-revision 7"))
		code, _, errors = run("--address", s.address, "zone", "out", "--change-id", "c1", "fremantle")
		gomega.Expect(code).To(gomega.Equal(command.ExitInvalid))
		gomega.Expect(errors).To(gomega.ContainSubstring("--expected-revision"))
	})

	ginkgo.DescribeTable("maps kinds of errors to exit codes",
		func(kind failure.Kind, want int) {
			s.fail("GET /v1/status", kind)
			code, _, errors := run("--address", s.address, "status")
			gomega.Expect(code).To(gomega.Equal(want))
			gomega.Expect(errors).To(gomega.ContainSubstring("the message; the remedy"))
		},
		ginkgo.Entry(nil, failure.InvalidArgument, command.ExitInvalid),
		ginkgo.Entry(nil, failure.NotFound, command.ExitNotFound),
		ginkgo.Entry(nil, failure.RevisionConflict, command.ExitConflict),
		ginkgo.Entry(nil, failure.Overloaded, command.ExitNotRun),
		ginkgo.Entry(nil, failure.MayHaveRun, command.ExitMayHaveRun),
		ginkgo.Entry(nil, failure.UpstreamFailed, command.ExitMayHaveRun),
		ginkgo.Entry(nil, failure.Unauthenticated, command.ExitPermission),
		ginkgo.Entry(nil, failure.Internal, command.ExitError),
	)

	ginkgo.DescribeTable("rejects invalid input with a message",
		func(want int, message string, args ...string) {
			code, _, errors := run(append([]string{"--address", "127.0.0.1:1"}, args...)...)
			gomega.Expect(code).To(gomega.Equal(want))
			gomega.Expect(errors).To(gomega.ContainSubstring(message))
		},
		ginkgo.Entry("unknown command", command.ExitUsage, "expected command", "frobnicate"),
		ginkgo.Entry("missing file", command.ExitInvalid, "cannot read the job", "submit", "/nonexistent/job.json"),
		ginkgo.Entry("no process", command.ExitNotRun, "start the process", "status"),
		ginkgo.Entry("missing settings", command.ExitInvalid, "cannot read settings file", "config", "check", "/nonexistent.ini"),
	)

	// Guards against nested values that are printed in Go syntax.
	ginkgo.It("prints a dump as indented text with tables", func() {
		s.respond("GET /v1/dump", `{"id":"vm1","entry":{"agents":[{"id":"a1","free":8}],"queued":0}}`)
		_, out, _ := run("--address", s.address, "dump")
		gomega.Expect(out).To(gomega.Equal("entry:\n  agents:\n    FREE  ID\n    8     a1\n  queued: 0\nid: vm1\n"))
	})

	ginkgo.It("prints help, and completion scripts that name the tool", func() {
		code, out, errors := run("--help")
		gomega.Expect(code).To(gomega.Equal(0))
		gomega.Expect(out + errors).To(gomega.ContainSubstring("Examples:"))
		_, out, _ = run("completion", "bash")
		gomega.Expect(out).To(gomega.ContainSubstring("complete -F _pollenpaddle_bash_autocomplete"))
	})
})

var _ = ginkgo.Describe("The settings examples", func() {
	// Guards against examples that the daemon rejects.
	ginkgo.It("are valid", func() {
		paths, err := filepath.Glob("../../examples/*/*.ini")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		for _, path := range append(paths, "../../examples/single.ini") {
			if strings.Contains(path, "profiles") {
				continue
			}
			code, out, errors := run("config", "check", path)
			gomega.Expect(code).To(gomega.Equal(0), fmt.Sprint(path, errors))
			gomega.Expect(out).To(gomega.ContainSubstring("is valid"))
		}
	})
})
