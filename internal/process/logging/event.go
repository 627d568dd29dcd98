// Package logging defines the numbered log events of the daemon. The number of an event never
// changes and is never reused; docs/logs.md lists them all.
package logging

import (
	"sort"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event is one kind of log line.
type Event struct {
	Number  int
	Level   zapcore.Level
	Message string
	Meaning string // cause and recommended action for operators; shown in docs/logs.md
}

var eventsByNumber = map[int]Event{}

// define registers an event. It panics if the number is in use already.
func define(number int, level zapcore.Level, message, meaning string) Event {
	if _, taken := eventsByNumber[number]; taken {
		panic("logging: event number defined twice: " + message)
	}
	e := Event{Number: number, Level: level, Message: message, Meaning: meaning}
	eventsByNumber[number] = e
	return e
}

// Events returns all events, sorted by number.
func Events() []Event {
	events := make([]Event, 0, len(eventsByNumber))
	for _, e := range eventsByNumber {
		events = append(events, e)
	}
	sort.Slice(events, func(i, j int) bool { return events[i].Number < events[j].Number })
	return events
}

// LogFaults returns a function that logs the error of a fault (failure.RecoverFault).
func LogFaults(logger *zap.Logger) func(error) {
	return func(err error) { Log(logger, UnexpectedFault, zap.Error(err)) }
}

// Log writes an event with its fields.
func Log(logger *zap.Logger, e Event, fields ...zap.Field) {
	if checked := logger.Check(e.Level, e.Message); checked != nil {
		checked.Write(append([]zap.Field{zap.Int("event", e.Number)}, fields...)...)
	}
}
