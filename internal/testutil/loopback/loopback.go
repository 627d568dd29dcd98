// Package loopback provides addresses for daemons that tests and measurements start.
package loopback

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// The ports lie below 32768, the default start of the range from which the kernel assigns ports
	// to outgoing connections and to listeners on port 0. A port of that range was taken between the
	// check and the start of a daemon, which then could not listen.
	firstPort = 12000
	portCount = 20000
	// portsPerProcess is the distance between the first ports of two processes with successive ids.
	// Processes that run at the same time then rarely check the same port.
	portsPerProcess = 200
)

// checkedPorts is the number of ports that this process has checked.
var checkedPorts atomic.Uint32

// FreeAddress returns a loopback address whose port is not in use. It returns each port only once
// until it has tried all of them.
func FreeAddress() (string, error) {
	for range portCount {
		port := firstPort + (os.Getpid()*portsPerProcess+int(checkedPorts.Add(1)))%portCount
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, errors.Wrap(listener.Close(), "close the listener that checked the port")
	}
	return "", errors.Newf("no port from %d to %d is free", firstPort, firstPort+portCount-1)
}
