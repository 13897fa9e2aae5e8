package launch

import (
	"fmt"
	"net"
	"os"

	"github.com/gravitational/trace"
)

// A deployment begins at a port from firstPort to lastPort, in steps of rangeStep.
const (
	firstPort       = 20000
	lastPort        = 30000
	rangeStep       = 500
	startPositions  = 20 // processes that run at once begin their search at different ports, by process ID
	portsPerProcess = 10 // ports of a process
)

// FreePorts returns the first port of a range of free TCP ports for n processes.
// The error is a trace.LimitExceeded.
func FreePorts(n int) (int, error) {
	for port := firstPort + os.Getpid()%startPositions*rangeStep; port < lastPort; port += rangeStep {
		if allFree(port, n*portsPerProcess) {
			return port, nil
		}
	}
	return 0, trace.LimitExceeded("no ports for %d processes from %d to %d", n, firstPort, lastPort)
}

func allFree(first, n int) bool {
	for port := first; port < first+n; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}
