package auth_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/process/auth"
)

func TestAuth(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "auth")
}

const (
	operatorToken = "operator-token-0123456789"
	swanToken     = "swan-river-token-0123456789"
)

func writeTokens(content string, mode os.FileMode) string {
	path := filepath.Join(ginkgo.GinkgoT().TempDir(), "tokens")
	gomega.Expect(os.WriteFile(path, []byte(content), mode)).To(gomega.Succeed())
	gomega.Expect(os.Chmod(path, mode)).To(gomega.Succeed())
	return path
}

var _ = ginkgo.Describe("Tokens", func() {
	ginkgo.It("separates operators from organisations", func() {
		tokens, err := auth.Load(writeTokens("# comment\n\noperator "+operatorToken+"\norganisation swan "+swanToken+"\n", 0o600))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		operator, err := tokens.Authenticate("Bearer " + operatorToken)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(operator.Operator()).To(gomega.BeTrue())
		gomega.Expect(operator.MayActFor("swan")).To(gomega.BeFalse())
		swan, err := tokens.Authenticate("Bearer " + swanToken)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(swan.Operator()).To(gomega.BeFalse())
		gomega.Expect(swan.MayActFor("swan")).To(gomega.BeTrue())
		gomega.Expect(swan.MayActFor("nordvind")).To(gomega.BeFalse())
		gomega.Expect(swan.MayActFor("")).To(gomega.BeFalse())
		gomega.Expect(failure.KindOf(swan.RequireOperator())).To(gomega.Equal(failure.PermissionDenied))
	})

	// Guards against accepting the prefix of a token, an empty token or another scheme.
	ginkgo.DescribeTable("rejects", func(header string) {
		tokens, err := auth.Load(writeTokens("operator "+operatorToken+"\n", 0o600))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		principal, err := tokens.Authenticate(header)
		gomega.Expect(failure.KindOf(err)).To(gomega.Equal(failure.Unauthenticated))
		gomega.Expect(principal.Operator()).To(gomega.BeFalse())
		gomega.Expect(principal.MayActFor("")).To(gomega.BeFalse())
	},
		ginkgo.Entry("a missing header", ""), ginkgo.Entry("an empty token", "Bearer "),
		ginkgo.Entry("a prefix of a token", "Bearer "+operatorToken[:20]), ginkgo.Entry("another scheme", "Basic "+operatorToken))

	// Guards against a token that reaches a log through an error message, and against token files
	// that other users can read.
	ginkgo.DescribeTable("rejects the file with an error that contains no token", func(content string, mode os.FileMode) {
		_, err := auth.Load(writeTokens(content, mode))
		gomega.Expect(failure.KindOf(err)).To(gomega.Equal(failure.InvalidArgument))
		gomega.Expect(err.Error()).NotTo(gomega.ContainSubstring("token-0123456789"))
	},
		ginkgo.Entry("group readable", "operator "+operatorToken, os.FileMode(0o640)),
		ginkgo.Entry("malformed", "operatr "+operatorToken, os.FileMode(0o600)),
		ginkgo.Entry("extra field", "operator x "+operatorToken, os.FileMode(0o600)),
		ginkgo.Entry("duplicate", "operator "+operatorToken+"\norganisation a "+operatorToken, os.FileMode(0o600)),
		ginkgo.Entry("short token", "operator abc", os.FileMode(0o600)),
		ginkgo.Entry("empty", "# nothing\n", os.FileMode(0o600)))

	ginkgo.It("trusts every caller without a token file, and RequireLoopback accepts only loopback listen addresses", func() {
		tokens, err := auth.Load("")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		principal, err := tokens.Authenticate("")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(principal.Operator() && principal.MayActFor("any")).To(gomega.BeTrue())
		for _, address := range []string{"127.0.0.1:1", "[::1]:1", "localhost:1"} {
			gomega.Expect(auth.RequireLoopback(address)).To(gomega.Succeed())
		}
		for _, address := range []string{":1", "0.0.0.0:1", "10.0.0.1:1", "example.org:1", "127.0.0.1"} {
			gomega.Expect(auth.RequireLoopback(address)).NotTo(gomega.Succeed())
		}
	})
})
