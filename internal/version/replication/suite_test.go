package replication_test

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	_ "pgregory.net/rapid" // registers its flags

	"pollenpaddle/internal/testutil"
)

func TestMain(m *testing.M) {
	testutil.Main(m, testutil.RapidFlag{Name: "checks", Value: "400"}, testutil.RapidFlag{Name: "steps", Value: "60"})
}

func TestReplication(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "replication")
}
