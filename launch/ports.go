package launch

import (
	"fmt"
	"net"
	"os"

	"github.com/gravitational/trace"
)

// The ports that a deployment may begin at.
const (
	firstPort = 20000
	lastPort  = 30000
	portStep  = 500
	portTurns = 20 // first tries of processes that run at the same time
	blockSize = 10 // ports of a process
)

// FreePorts returns the first port of a free range for n processes.
func FreePorts(n int) (int, error) {
	for port := firstPort + os.Getpid()%portTurns*portStep; port < lastPort; port += portStep {
		if free(port, n*blockSize) {
			return port, nil
		}
	}
	return 0, trace.LimitExceeded("no ports for %d processes from %d to %d", n, firstPort, lastPort)
}

func free(first, n int) bool {
	for port := first; port < first+n; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}
