package guard

import (
	"net"
	"os"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestAcceptGoesOnAfterAShortage guards against a listener that ends permanently
// because of a temporary shortage of file descriptors.
func TestAcceptGoesOnAfterAShortage(t *testing.T) {
	failure := func(errno syscall.Errno) error {
		return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
	}
	served, _ := net.Pipe()
	ends := []error{failure(syscall.EMFILE), failure(syscall.ENFILE), nil, failure(syscall.EINVAL)}
	accept := func() (net.Conn, error) {
		err := ends[0]
		ends = ends[1:]
		if err != nil {
			return nil, err
		}
		return served, nil
	}
	c, err := AcceptRetrying(accept)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, c, qt.Equals, served)
	_, err = AcceptRetrying(accept)
	qt.Check(t, err, qt.ErrorIs, syscall.EINVAL)
}
