package process

import (
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"
)

// The ports lie below the range from which the operating system takes the ports of
// outgoing connections, so that the ports of a node are still free when it restarts.
const (
	firstPort = 20000
	lastPort  = 32000
	// portStride separates the first ports of processes that run concurrently.
	portStride = 211
)

// ports assigns ports in ascending order. The first depends on the process id.
var ports = struct {
	sync.Mutex
	next int
}{next: firstPort + os.Getpid()*portStride%(lastPort-firstPort)}

// FreeAddresses returns n loopback addresses that are free at the time of the call.
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
