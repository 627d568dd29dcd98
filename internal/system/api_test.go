package system

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"pollenpaddle/internal/standin"
	"pollenpaddle/internal/testutil/loopback"
)

const (
	apiDocument        = "../../docs/api.md"
	singleSettings     = "../../examples/single.ini"
	documentedDaemon   = "127.0.0.1:7400"
	documentedUpstream = "127.0.0.1:7500"
	curlPrefix         = "    curl "
)

// statusComment matches a documented call and the expected status at its end. The optional second status
// applies to an agent without a static upstream, that is, without an upstream in its settings.
var statusComment = regexp.MustCompile(`^(.*) # (\d{3})(?:, (\d{3}) without a static upstream)?$`)

// documentedCall is a curl command in docs/api.md.
type documentedCall struct {
	line                          string
	method, url, body             string
	headers                       [][2]string
	status, statusWithoutUpstream int // expected status with and without a static upstream
}

// documentedCalls returns the calls of docs/api.md in the order of the document.
func documentedCalls() []documentedCall {
	ginkgo.GinkgoHelper()
	document, err := os.ReadFile(apiDocument)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	// All lines share one value of now, as in a shell, because a resubmission repeats the submission time.
	now := strconv.FormatInt(time.Now().UnixMilli(), 10)
	var calls []documentedCall
	for _, line := range strings.Split(string(document), "\n") {
		if strings.HasPrefix(line, curlPrefix) {
			call, err := parseCurl(line, now)
			gomega.Expect(err).NotTo(gomega.HaveOccurred(), line)
			calls = append(calls, call)
		}
	}
	gomega.Expect(calls).NotTo(gomega.BeEmpty())
	return calls
}

// parseCurl parses a line with the flags -s, -X, -H and -d, one URL and a status comment.
func parseCurl(line, now string) (documentedCall, error) {
	call := documentedCall{line: line}
	parts := statusComment.FindStringSubmatch(line)
	if parts == nil {
		return call, errors.New("the line does not end with a status comment")
	}
	call.status, _ = strconv.Atoi(parts[2]) // three digits, as statusComment requires
	call.statusWithoutUpstream = call.status
	if parts[3] != "" {
		call.statusWithoutUpstream, _ = strconv.Atoi(parts[3])
	}
	words, err := shellWords(strings.TrimPrefix(parts[1], curlPrefix), now)
	if err != nil {
		return call, err
	}
	for len(words) > 0 {
		word := words[0]
		words = words[1:]
		switch {
		case word == "-s":
			continue
		case !strings.HasPrefix(word, "-") && call.url == "":
			call.url = word
			continue
		case len(words) == 0:
			return call, errors.Newf("%q is a flag without a value or a second URL", word)
		}
		value := words[0]
		words = words[1:]
		switch word {
		case "-X":
			call.method = value
		case "-d":
			call.body = value
		case "-H":
			name, text, found := strings.Cut(value, ": ")
			if !found {
				return call, errors.Newf("header %q has no value", value)
			}
			call.headers = append(call.headers, [2]string{name, text})
		default:
			return call, errors.Newf("flag %q is not supported by this test", word)
		}
	}
	if call.method == "" {
		call.method = fasthttp.MethodGet
		if call.body != "" {
			call.method = fasthttp.MethodPost
		}
	}
	if call.url == "" {
		return call, errors.New("the line has no URL")
	}
	return call, nil
}

// shellWords splits a command at spaces outside single quotes. Outside quotes it replaces $now with now, the
// time in milliseconds since the Unix epoch, and rejects other special characters of the shell.
func shellWords(text, now string) ([]string, error) {
	var words []string
	var word strings.Builder
	started, quoted := false, false
	for i := 0; i < len(text); i++ {
		b := text[i]
		switch {
		case b == '\'':
			quoted, started = !quoted, true
		case quoted:
			word.WriteByte(b)
		case b == ' ':
			if started {
				words = append(words, word.String())
			}
			word.Reset()
			started = false
		case strings.HasPrefix(text[i:], "$now"):
			word.WriteString(now)
			started = true
			i += len("$now") - 1
		case strings.IndexByte("$&?*;|<>\"\\`(){}#~!", b) >= 0:
			return nil, errors.Newf("character %q is not quoted", b)
		default:
			word.WriteByte(b)
			started = true
		}
	}
	if quoted {
		return nil, errors.New("unterminated quote")
	}
	if started {
		words = append(words, word.String())
	}
	return words, nil
}

// singleDaemon is a daemon with all roles and the settings of examples/single.ini, and its stand-in upstream.
type singleDaemon struct {
	address, upstream string
}

// startSingleDaemon starts a stand-in upstream and a daemon on free ports. If static is false, the agent
// has no upstream until one is announced.
func startSingleDaemon(static bool) *singleDaemon {
	ginkgo.GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	upstream := standin.NewUpstream(1)
	go func() { _ = upstream.Serve(listener) }() // ends with Close
	ginkgo.DeferCleanup(upstream.Close)
	s := &singleDaemon{address: freeAddress(), upstream: listener.Addr().String()}

	settings, err := os.ReadFile(singleSettings)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	folder := ginkgo.GinkgoT().TempDir()
	text := s.substituteAddresses(string(settings))
	gomega.Expect(text).To(gomega.ContainSubstring("data_folder = out/single"))
	text = strings.ReplaceAll(text, "out/single", filepath.Join(folder, "data"))
	if !static {
		text = regexp.MustCompile(`(?m)^upstream = .*\n`).ReplaceAllString(text, "")
	}
	path := filepath.Join(folder, "single.ini")
	gomega.Expect(os.WriteFile(path, []byte(text), 0o600)).To(gomega.Succeed())
	command := exec.Command(daemonBinary, path)
	command.Stdout, command.Stderr = ginkgo.GinkgoWriter, ginkgo.GinkgoWriter
	gomega.Expect(command.Start()).To(gomega.Succeed())
	ginkgo.DeferCleanup(func() {
		gomega.Expect(command.Process.Signal(syscall.SIGTERM)).To(gomega.Succeed())
		gomega.Expect(command.Wait()).To(gomega.Succeed(), "exit status of the daemon")
	})
	return s
}

func freeAddress() string {
	ginkgo.GinkgoHelper()
	address, err := loopback.FreeAddress()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return address
}

// substituteAddresses replaces the documented addresses with those of this daemon and its upstream.
func (s *singleDaemon) substituteAddresses(text string) string {
	return strings.NewReplacer(documentedDaemon, s.address, documentedUpstream, s.upstream).Replace(text)
}

// get returns the status and the body of a GET request. The status is 0 if there was no response.
func (s *singleDaemon) get(path string) (int, string) {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+s.address+path, time.Second)
	if err != nil {
		return 0, ""
	}
	return status, string(body)
}

// do makes a documented call and returns the status and the body of the response.
func (s *singleDaemon) do(call *documentedCall) (int, string) {
	ginkgo.GinkgoHelper()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(call.method)
	request.SetRequestURI("http://" + strings.TrimPrefix(s.substituteAddresses(call.url), "http://"))
	if call.body != "" {
		request.Header.SetContentType("application/x-www-form-urlencoded") // as curl -d sends it
		request.SetBodyString(s.substituteAddresses(call.body))
	}
	for _, header := range call.headers {
		request.Header.Set(header[0], header[1])
	}
	gomega.Expect(fasthttp.DoTimeout(request, response, 30*time.Second)).To(gomega.Succeed(), call.line)
	return response.StatusCode(), string(response.Body())
}

var _ = ginkgo.Describe("docs/api.md", func() {
	// Guards against documented calls to which the daemon responds with another status than documented.
	ginkgo.It("documents calls that work when they are made in order", func() {
		s := startSingleDaemon(true)
		gomega.Eventually(func() int { status, _ := s.get("/readyz"); return status }).Should(gomega.Equal(http.StatusOK))
		gomega.Eventually(func() string { _, body := s.get("/v1/zones"); return body }).Should(gomega.ContainSubstring("subiaco"))
		for _, call := range documentedCalls() {
			status, body := s.do(&call)
			gomega.Expect(status).To(gomega.Equal(call.status), "%s\n%s", call.line, body)
		}
	})

	// Guards against wrong statuses in the document for announcements that are accepted. The daemon of the
	// previous spec has a static upstream and rejects these calls.
	ginkgo.It("documents the statuses of announcement calls to an agent without a static upstream", func() {
		s := startSingleDaemon(false)
		gomega.Eventually(func() int { status, _ := s.get("/healthz"); return status }).Should(gomega.Equal(http.StatusOK))
		made := 0
		for _, call := range documentedCalls() {
			if strings.HasSuffix(call.url, "/v1/upstream") {
				status, body := s.do(&call)
				gomega.Expect(status).To(gomega.Equal(call.statusWithoutUpstream), "%s\n%s", call.line, body)
				made++
			}
		}
		gomega.Expect(made).To(gomega.BeNumerically(">=", 3))
	})

	// Guards against undocumented paths.
	ginkgo.It("documents a call for every route", func() {
		routes := registeredRoutes()
		gomega.Expect(len(routes)).To(gomega.BeNumerically(">=", 20))
		var documented []string
		for _, call := range documentedCalls() {
			path, _, _ := strings.Cut(strings.TrimPrefix(call.url, documentedDaemon), "?")
			documented = append(documented, call.method+" "+path)
		}
		for _, route := range routes {
			pattern := regexp.MustCompile(`\\\{[^}]*\\\}`).ReplaceAllString(regexp.QuoteMeta(route), `[^/]+`)
			gomega.Expect(documented).To(gomega.ContainElement(gomega.MatchRegexp("^"+pattern+"$")), route)
		}
	})
})

// registeredRoutes returns "METHOD path" for every path that the sources register as a string literal.
// The session endpoints, which other daemons use, are not registered as literals.
func registeredRoutes() []string {
	ginkgo.GinkgoHelper()
	files, err := filepath.Glob("../process/*/*.go")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	register := regexp.MustCompile(`\br\.(GET|PUT|POST|DELETE)\("(/[^"]*)"`)
	var routes []string
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		source, err := os.ReadFile(file)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		for _, match := range register.FindAllStringSubmatch(string(source), -1) {
			routes = append(routes, fmt.Sprintf("%s %s", match[1], match[2]))
		}
	}
	return routes
}
