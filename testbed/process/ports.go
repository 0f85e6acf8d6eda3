package process

import (
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"
)

// Ports are taken from below the range from which the system takes those of
// outgoing connections, so that a node finds its own free again at a restart.
const (
	firstPort = 20000
	lastPort  = 32000
	// portStride separates the first ports of processes that run side by side.
	portStride = 211
)

// ports hands out ports in turn.
var ports = struct {
	sync.Mutex
	next int
}{next: firstPort + os.Getpid()*portStride%(lastPort-firstPort)}

// FreeAddresses returns n loopback addresses that were free when asked for.
func FreeAddresses(n int) ([]string, error) {
	ports.Lock()
	defer ports.Unlock()
	list := make([]string, 0, n)
	for range lastPort - firstPort {
		if len(list) == n {
			return list, nil
		}
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(ports.next))
		if ports.next++; ports.next == lastPort {
			ports.next = firstPort
		}
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		ln.Close()
		list = append(list, address)
	}
	return nil, errors.Newf("fewer than %d ports are free", n)
}
