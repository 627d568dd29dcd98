package entry_test

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"pollenpaddle/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

func TestEntry(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	gomega.SetDefaultEventuallyTimeout(20 * time.Second)
	gomega.SetDefaultEventuallyPollingInterval(5 * time.Millisecond)
	ginkgo.RunSpecs(t, "entry")
}
