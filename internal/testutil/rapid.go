// Package testutil holds what the test suites of several packages share.
package testutil

import (
	"flag"
	"os"
	"testing"
)

// FixedSeed is the seed of rapid in CI, so that every run checks the same schedules.
const FixedSeed = "20261204"

// RapidFlag is a setting of rapid, without the prefix "rapid.".
type RapidFlag struct{ Name, Value string }

// fixRapid sets the seed of rapid and further flags. Flags that the command line sets keep their
// values, so that "make soak" can run fresh seeds.
func fixRapid(flags ...RapidFlag) {
	flags = append(flags, RapidFlag{"seed", FixedSeed}, RapidFlag{"nofailfile", "true"})
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for _, f := range flags {
		if name := "rapid." + f.Name; !given[name] {
			if err := flag.Set(name, f.Value); err != nil {
				panic(err) // the calling package does not import rapid
			}
		}
	}
}

// Main is the TestMain of a package with model-based tests: it fixes the seed of rapid and runs them.
func Main(m *testing.M, flags ...RapidFlag) {
	flag.Parse()
	fixRapid(flags...)
	os.Exit(m.Run())
}
