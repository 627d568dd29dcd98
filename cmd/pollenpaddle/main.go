// Command pollenpaddle is the command-line tool for callers and operators.
package main

import (
	"os"

	"pollenpaddle/internal/command"
)

// version is the release version.
const version = "0.1.0"

func main() {
	streams := command.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	if info, err := os.Stderr.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 {
		streams.Progress = os.Stderr
	}
	os.Exit(command.Run(os.Args[1:], version, streams))
}
