package cluster

import (
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of processor times in /proc: Linux reports 100 ticks per second to user
// space.
const clockTick = 10 * time.Millisecond

// Indexes of the fields of /proc/PID/stat that follow the command name.
const (
	fieldUserTime   = 11
	fieldSystemTime = 12
)

// parseProcessorTime returns the sum of the user and system time in the content of /proc/PID/stat, or
// zero if it is malformed. The command name, in parentheses, may contain spaces and parentheses.
func parseProcessorTime(stat string) time.Duration {
	nameEnd := strings.LastIndexByte(stat, ')')
	if nameEnd < 0 {
		return 0
	}
	fields := strings.Fields(stat[nameEnd+1:])
	if len(fields) <= fieldSystemTime {
		return 0
	}
	user, _ := strconv.ParseInt(fields[fieldUserTime], 10, 64)
	system, _ := strconv.ParseInt(fields[fieldSystemTime], 10, 64)
	return time.Duration(user+system) * clockTick
}

// addSamples adds the samples of a text in the Prometheus format whose names start with prefix to
// sums, by name with labels.
func addSamples(sums map[string]float64, text, prefix string) {
	for line := range strings.Lines(text) {
		if !strings.HasPrefix(line, prefix) {
			continue
		}
		separator := strings.LastIndexByte(strings.TrimSpace(line), ' ')
		if separator < 0 {
			continue
		}
		if value, err := strconv.ParseFloat(strings.TrimSpace(line[separator:]), 64); err == nil {
			sums[strings.TrimSpace(line[:separator])] += value
		}
	}
}
