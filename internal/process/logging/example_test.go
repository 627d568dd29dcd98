package logging_test

import (
	"fmt"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"pollenpaddle/internal/process/logging"
)

// Guards against a log line without its event number or its fields.
func ExampleLog() {
	core, lines := observer.New(zap.InfoLevel)
	logging.Log(zap.New(core), logging.EntryJoined, zap.String("entry", "vm1"))
	line := lines.All()[0]
	fmt.Println(line.Message, line.ContextMap()["event"], line.ContextMap()["entry"])
	// Output: entry joins the configuration 1205 vm1
}
