package dispatch_test

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	_ "pgregory.net/rapid" // registers the rapid.seed flag

	"pollenpaddle/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

func TestDispatch(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "dispatch")
}
