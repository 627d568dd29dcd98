// Command bound computes which share of the jobs of a load could meet their objective if a scheduler knew everything and
// lost no time, beside the shares of first come first served and of a random order. It compares processor time offered
// with processor time demanded, so the shares are upper limits of what an installation can reach.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("bound", "Compute the share of jobs that could meet their objective, by processor time.")
	paths := app.Arg("load", "INI file with classes, workers and phases; see tools/bound/loads.").Required().ExistingFiles()
	window := app.Flag("window", "Length of the windows of which the two worst are reported.").Default("2s").Duration()
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fail(err)
	}
	for _, path := range *paths {
		l, err := readLoad(path)
		if err != nil {
			fail(err)
		}
		fmt.Printf("%s: demand at most %.2f of the capacity, %.2f on average\n", l.name, l.peakUse(), l.meanUse())
		fmt.Printf("%-26s %8s %14s  by class\n", "order", "whole", "worst windows")
		for _, o := range orders {
			r := play(l, o, *window)
			fmt.Printf("%-26s %8.3f %14.3f ", o.name, r.share(), r.worstWindows())
			for k, c := range l.classes {
				fmt.Printf(" %s %.3f", c.name, r.classShare(k))
			}
			fmt.Println()
		}
	}
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "bound:", err)
	os.Exit(1)
}

// seconds converts seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
