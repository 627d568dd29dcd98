package shedding_test

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"pollenpaddle/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m, testutil.RapidFlag{Name: "checks", Value: "60"}) }

func TestShedding(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "shedding")
}
