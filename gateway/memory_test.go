package gateway

import (
	"testing"

	"github.com/cloudwego/hertz/pkg/protocol"
	qt "github.com/frankban/quicktest"

	"filbertmill.example/exchange"
	"filbertmill.example/platform"
)

func TestAnswerMemoryIsAShareOfTheHosts(t *testing.T) {
	qt.Check(t, answerMemory(platform.Resources{MemoryMB: 184}).Use().Limit, qt.Equals, int64(46<<20))
	qt.Check(t, answerMemory(platform.Resources{}).Use().Limit, qt.Equals, int64(defaultAnswerBytes))
}

// The answer to a request that was delivered holds nothing, also one that
// comes after.
func TestDeliveredRequestHoldsNothing(t *testing.T) {
	n := &Node{}
	in := &protocol.Request{}
	h := n.trackAnswers(in)
	m := exchange.NewMemory(1 << 20)
	h.add(m.Lease())
	n.releaseAnswers(in)
	n.releaseAnswers(in)
	qt.Check(t, h.leases, qt.HasLen, 0)
	h.add(m.Lease())
	qt.Check(t, h.leases, qt.HasLen, 0)
	_, ok := n.answerLeases.Load(in)
	qt.Check(t, ok, qt.IsFalse)
}
