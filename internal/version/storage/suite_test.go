package storage_test

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	_ "pgregory.net/rapid" // registers its flags

	"pollenpaddle/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

func TestStorage(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "storage")
}
