package claim_test

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"pollenpaddle/internal/testutil"
)

func TestMain(m *testing.M) {
	testutil.Main(m, testutil.RapidFlag{Name: "steps", Value: "300"}, testutil.RapidFlag{Name: "checks", Value: "1500"})
}

func TestClaim(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "claim")
}
