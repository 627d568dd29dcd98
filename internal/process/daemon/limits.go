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
	// decodingBytes is what a body of the largest size needs in addition when it is decoded.
	decodingBytes = 2 << 20
	// memoryShare divides the memory of the process: the part of it that requests may hold. The heap grows to twice what
	// is live before it is collected.
	memoryShare = 8
	// maxDerivedBytes bounds the derived size, because a request waits for its bytes while others are read: more would be
	// used by clients that ignore limits only. It holds two configurations, or a body of the largest size and one.
	maxDerivedBytes = 18 << 20
	// memoryPerConnection is the memory divided by the number of connections of callers. A connection takes some 40 KB: 16
	// KiB to read, 4 KiB to write, 8 KiB of body, stack and state. So all of them take a third of the memory at most.
	memoryPerConnection = 128 << 10
	// callerShare divides the descriptors: the connections of callers. Three eighths are for the address listen, with the
	// sessions; at least a quarter is left for sessions that this process opens, for workers and for files.
	callerShare = 4
	// smallShare divides the descriptors: the connections of each listener with few clients (operators, readiness,
	// workers), within minSmall and maxSmall.
	smallShare, minSmall, maxSmall = 16, 8, 64
	minConnections                 = 16
	// minMemoryBytes is assumed if the system reports less or nothing.
	minMemoryBytes = 64 << 20
)

// Limits are the limits on the HTTP clients of a process.
type Limits struct {
	Bytes              budget.Config
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
	connections := int(max(minConnections, min(descriptors/callerShare, memory/memoryPerConnection)))
	if set.Connections > 0 {
		connections = set.Connections
	}
	small := int(min(max(descriptors/smallShare, minSmall), maxSmall))
	needed := s.Entry.MaxBodyBytes + decodingBytes + reservedBytes
	total := max(needed, int(min(memory/memoryShare, maxDerivedBytes)))
	if set.RequestBytes > 0 {
		total = set.RequestBytes
	}
	if total < needed {
		return Limits{}, failure.New(failure.InvalidArgument, "raise request_bytes or lower max_body_bytes",
			"section [process], key request_bytes: %d bytes do not hold a body of max_body_bytes and the reserve; at least %d are needed", total, needed)
	}
	if open := int64(connections + connections*3/2 + 2*small); open > descriptors {
		return Limits{}, failure.New(failure.InvalidArgument, "lower max_connections or raise the limit on descriptors",
			"section [process], key max_connections: %d connections of callers need %d descriptors, the process has %d", connections, open, descriptors)
	}
	listener := func(n int) budget.Listener {
		return budget.Listener{Connections: n, ConnectionsPerAddress: set.ConnectionsPerAddress}
	}
	return Limits{
		Bytes:   budget.Config{Bytes: total, ReservedBytes: reservedBytes},
		Callers: listener(connections), Own: listener(connections * 3 / 2), Small: listener(small),
		HeaderTimeout: set.HeaderTimeout, CallersIdleTimeout: s.Adapter.CallersIdleTimeout,
	}, nil
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
