package budget

import "github.com/cockroachdb/errors"

const (
	// programBytes is the resident memory of the program's code and data, and of its threads.
	programBytes = 24 << 20
	// stateShare divides the memory: the state of the roles, which requests leave behind, with minStateBytes at least.
	stateShare    = 16
	minStateBytes = 6 << 20
	// connectionBytes is the memory of one connection: 16 KiB to read, 4 KiB to write, 8 KiB of body, and stack and state.
	connectionBytes = 36 << 10
	// liveParts of runtimeParts of the memory of the Go runtime may be in use after a collection. The rest is for objects that
	// are not collected yet; with less, the collector runs all the time.
	liveParts, runtimeParts = 3, 4
	// overshootShare divides the memory of the runtime: by how much it exceeds its limit while large objects are allocated.
	overshootShare = 16
	// MinReceiveBytes and maxReceiveBytes bound the receive buffer of a connection. The most is enough for a gigabit a second
	// over 2 ms.
	MinReceiveBytes = 16 << 10
	maxReceiveBytes = 256 << 10
	// minBacklog is the least number of connections that may wait to be accepted by a listener, and maxListeners the number of
	// listeners of a process.
	minBacklog   = 16
	maxListeners = 5
)

// Shares divides the memory of a process. Program, Runtime and Unread add up to the memory at most, and State, Bytes and
// Connections to Live.
type Shares struct {
	Program     int64 // code and data of the program
	Runtime     int64 // all that the Go runtime maps
	Unread      int64 // bytes that have arrived and are not read
	Limit       int64 // of the Go runtime, which exceeds it for short times and then has Runtime
	Live        int64 // part of Runtime that may be in use after a garbage collection
	State       int64 // state of the roles
	Bytes       int64 // bodies, their decoded values and large responses; see Config
	Connections int64 // buffers and goroutines of the connections
	// ReceiveBytes is the size of the receive buffer of each connection.
	ReceiveBytes int
}

// Backlog returns how many connections may wait to be accepted by a listener with a number of connections. They have receive
// buffers too.
func Backlog(connections int) int { return max(connections/2, minBacklog) }

// receiveBuffers returns the number of receive buffers for a number of connections of all listeners.
func receiveBuffers(connections int) int64 {
	return int64(connections + connections/2 + maxListeners*minBacklog)
}

func stateBytes(memory int64) int64 { return max(memory/stateShare, minStateBytes) }

// runtimeBytes returns the memory of the Go runtime with n bytes in use.
func runtimeBytes(n int64) int64 { return n * runtimeParts / liveParts }

// MaxConnections returns the number of connections of all listeners for which a memory has room beside a budget of bytes.
func MaxConnections(memory, bytes int64) int {
	free := memory - programBytes - runtimeBytes(stateBytes(memory)+bytes) - MinReceiveBytes*receiveBuffers(0)
	return int(max(0, free/(runtimeBytes(connectionBytes)+MinReceiveBytes*3/2)))
}

// Divide returns the shares of a memory, with a budget of bytes and a number of connections of all listeners. It returns an
// error if they do not fit.
func Divide(memory, bytes int64, connections int) (Shares, error) {
	if most := MaxConnections(memory, bytes); connections < 1 || connections > most {
		return Shares{}, errors.Newf("%d bytes of memory, %d of them for requests, have room for %d connections, not for %d", memory, bytes, most, connections)
	}
	s := Shares{Program: programBytes, State: stateBytes(memory), Bytes: bytes, Connections: int64(connections) * connectionBytes}
	free := memory - programBytes - runtimeBytes(s.State+s.Bytes+s.Connections)
	// The runtime gets half of what is left.
	s.ReceiveBytes = int(min(max(free/2/receiveBuffers(connections), MinReceiveBytes), maxReceiveBytes))
	s.Unread = receiveBuffers(connections) * int64(s.ReceiveBytes)
	s.Runtime = memory - s.Program - s.Unread
	s.Limit = s.Runtime - s.Runtime/overshootShare
	s.Live = s.Runtime * liveParts / runtimeParts
	return s, nil
}
