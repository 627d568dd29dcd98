// Package testutil provides helpers shared by the test suites of several packages.
package testutil

import (
	"flag"
	"os"
	"testing"
)

// FixedSeed is the default seed of rapid, so that every CI run checks the same generated cases.
const FixedSeed = "20261204"

// RapidFlag is a command-line flag of rapid. Name lacks the prefix "rapid.".
type RapidFlag struct{ Name, Value string }

// setRapidFlags sets the seed of rapid and the given flags. Flags set on the command line keep their
// values, so that "make soak" can run other seeds.
func setRapidFlags(flags ...RapidFlag) {
	flags = append(flags, RapidFlag{"seed", FixedSeed}, RapidFlag{"nofailfile", "true"})
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for _, f := range flags {
		if name := "rapid." + f.Name; !given[name] {
			if err := flag.Set(name, f.Value); err != nil {
				panic(err) // the flag is unknown, for example because the package does not import rapid
			}
		}
	}
}

// Main implements TestMain for a package with model-based tests. It sets the flags of rapid and runs the tests.
func Main(m *testing.M, flags ...RapidFlag) {
	flag.Parse()
	setRapidFlags(flags...)
	os.Exit(m.Run())
}
