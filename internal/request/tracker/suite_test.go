package tracker_test

import (
	"flag"
	"os"
	"testing"

	"pollenpaddle/internal/testutil"
)

func TestMain(m *testing.M) {
	flag.Parse()
	testutil.FixRapid(testutil.RapidFlag{Name: "steps", Value: "200"}, testutil.RapidFlag{Name: "checks", Value: "500"})
	os.Exit(m.Run())
}
