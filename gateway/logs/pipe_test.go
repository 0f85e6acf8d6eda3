package logs

import (
	"os"
	"os/exec"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestProcessOutlivesTheReaderOfItsLog guards against SIGPIPE. It ends a Go process
// that writes to a broken standard output, and with it all requests in flight.
func TestProcessOutlivesTheReaderOfItsLog(t *testing.T) {
	if os.Getenv("LOGS_TEST_PIPE") != "" {
		time.Sleep(300 * time.Millisecond)
		w := NewWriter(os.Stdout)
		_, _ = w.Output().Write([]byte("{}\n"))
		w.Close(200 * time.Millisecond)
		os.Exit(0)
	}
	cmd := exec.Command(os.Args[0], "-test.run=^TestProcessOutlivesTheReaderOfItsLog$")
	cmd.Env = append(os.Environ(), "LOGS_TEST_PIPE=1")
	out, err := cmd.StdoutPipe()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, cmd.Start(), qt.IsNil)
	qt.Assert(t, out.Close(), qt.IsNil)
	qt.Check(t, cmd.Wait(), qt.IsNil)
}
