package tracker_test

import (
	"testing"

	"pollenpaddle/internal/testutil"
)

func TestMain(m *testing.M) {
	testutil.Main(m, testutil.RapidFlag{Name: "steps", Value: "200"}, testutil.RapidFlag{Name: "checks", Value: "500"})
}
