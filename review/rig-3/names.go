//go:build review3

package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesFile []byte

// names are the paths and headers of the platform.
var names = readNames()

// platformNames holds paths, and headers in the last two fields.
type platformNames struct {
	Put, Ready, Start, Stop, Hold, Heartbeat string
	Deadline, Expect                         string
}

func readNames() (read platformNames) {
	if err := json.Unmarshal(namesFile, &read); err != nil {
		panic(err)
	}
	return read
}
