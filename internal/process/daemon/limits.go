package daemon

import (
	"math"
	"os"
	"path/filepath"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"pollenpaddle/internal/connection/budget"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/process/settings"
)

const (
	// reservedBytes is the part of the bytes that callers cannot use: a configuration of 4 MiB, and as much to decode it.
	reservedBytes = 8 << 20
	// decodingBytes is what the values of a body of the largest size need when it is decoded, beside its texts.
	decodingBytes = 2 << 20
	// bodyShare divides the memory: the largest body.
	bodyShare = 16
	// maxDerivedBytes bounds the derived size, because a request waits for its bytes while others are read: more would be
	// used by clients that ignore limits only. It holds a body of the largest size with its decoded texts and values, and a
	// configuration.
	maxDerivedBytes = 26 << 20
	// memoryShare divides the memory of the process: the part of it that requests may hold.
	memoryShare = 8
	// callerShare divides the descriptors: the connections of callers. Three eighths are for the address listen, with the
	// sessions; at least a quarter is left for sessions that this process opens, for workers and for files.
	callerShare = 4
	// smallShare divides the descriptors, and smallMemoryShare the connections for which the memory has room: the connections
	// of each listener with few clients (operators, readiness, workers), within minSmall and maxSmall.
	smallShare, smallMemoryShare, minSmall, maxSmall = 16, 40, 8, 64
	smallListeners                                   = 3
	minConnections                                   = 16
	// minMemoryBytes is assumed if the system reports less or nothing.
	minMemoryBytes = 64 << 20
)

// Limits are the limits on the HTTP clients of a process.
type Limits struct {
	BodyBytes          int // of one request, at the address listen
	Bytes              budget.Config
	Shares             budget.Shares   // of the memory
	Callers            budget.Listener // listeners of callers
	Own                budget.Listener // the address listen, sessions included
	Small              budget.Listener // listeners with few clients
	HeaderTimeout      time.Duration
	CallersIdleTimeout time.Duration
}

// deriveLimits returns the limits for the settings, on a machine with a number of descriptors and bytes of memory.
func deriveLimits(s *settings.Settings, descriptors, memory int64) (Limits, error) {
	set := s.Process.Limits
	if set.MemoryBytes > 0 {
		memory = set.MemoryBytes
	}
	memory = max(memory, minMemoryBytes)
	body := int(min(int64(s.Entry.MaxBodyBytes), memory/bodyShare))
	needed := 2*body + decodingBytes + reservedBytes
	total := max(needed, int(min(memory/memoryShare, maxDerivedBytes)))
	if set.RequestBytes > 0 {
		total = set.RequestBytes
	}
	if total < needed {
		return Limits{}, failure.New(failure.InvalidArgument, "raise request_bytes or lower max_body_bytes",
			"section [process], key request_bytes: %d bytes do not hold a body of max_body_bytes, its texts and the reserve; at least %d are needed", total, needed)
	}
	room := budget.MaxConnections(memory, int64(total)) // for the connections of all listeners
	small := min(max(min(int(descriptors/smallShare), room/smallMemoryShare), minSmall), maxSmall)
	connections := max(minConnections, min(int(descriptors/callerShare), (room-smallListeners*small)*2/5))
	if set.Connections > 0 {
		connections = set.Connections
	}
	open := connections + connections*3/2 + smallListeners*small
	if int64(open) > descriptors {
		return Limits{}, failure.New(failure.InvalidArgument, "lower max_connections or raise the limit on descriptors",
			"section [process], key max_connections: %d connections of callers need %d descriptors, the process has %d", connections, open, descriptors)
	}
	shares, err := budget.Divide(memory, int64(total), open)
	if err != nil {
		return Limits{}, failure.New(failure.InvalidArgument, "raise memory_limit, or lower max_connections, request_bytes or max_body_bytes",
			"section [process], key memory_limit: %v", err)
	}
	listener := func(n int) budget.Listener {
		return budget.Listener{Connections: n, ConnectionsPerAddress: set.ConnectionsPerAddress}
	}
	return Limits{
		BodyBytes: body, Bytes: budget.Config{Bytes: total, ReservedBytes: reservedBytes, ReceiveBytes: shares.ReceiveBytes, LiveBytes: shares.Live},
		Shares: shares, Callers: listener(connections), Own: listener(connections * 3 / 2), Small: listener(small),
		HeaderTimeout: set.HeaderTimeout, CallersIdleTimeout: s.Adapter.CallersIdleTimeout,
	}, nil
}

// limitRuntimeMemory makes the Go runtime collect garbage before it maps more than n bytes, unless its limit is lower already.
// The heap would else grow to twice what is in use, whatever the memory of the machine.
func limitRuntimeMemory(n int64) {
	if n < debug.SetMemoryLimit(-1) { // a negative limit only returns the current one
		debug.SetMemoryLimit(n)
	}
}

// descriptorLimit returns the limit on open descriptors of this process.
func descriptorLimit() int64 {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int64(limit.Cur)
}

// reportedMemory returns the memory that the system reports for this process: the least of the memory of the machine, the
// limit of its control group, and the limit in the environment variable GOMEMLIMIT.
func reportedMemory() int64 {
	memory := debug.SetMemoryLimit(-1) // a negative limit only returns the current one
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) == nil {
		memory = min(memory, int64(info.Totalram)*int64(info.Unit))
	}
	if group, err := os.ReadFile("/proc/self/cgroup"); err == nil {
		if _, path, found := strings.Cut(strings.TrimSpace(string(group)), "0::"); found {
			for path = filepath.Clean(path); ; path = filepath.Dir(path) { // a limit holds for the groups below
				if limit, err := os.ReadFile(filepath.Join("/sys/fs/cgroup", path, "memory.max")); err == nil {
					if n, err := strconv.ParseInt(strings.TrimSpace(string(limit)), 10, 64); err == nil {
						memory = min(memory, n)
					}
				}
				if path == "/" || path == "." {
					break
				}
			}
		}
	}
	return max(memory, minMemoryBytes)
}
