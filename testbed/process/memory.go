package process

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// ResidentPeak returns the largest resident memory of the process so far, in bytes. It
// fails if the process has ended.
func (n *Node) ResidentPeak() (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.PID()))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10, err
		}
	}
	return 0, errors.New("no VmHWM line: the process has ended")
}
