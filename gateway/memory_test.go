package gateway

import (
	"testing"

	"github.com/cloudwego/hertz/pkg/protocol"
	qt "github.com/frankban/quicktest"

	"filbertmill.example/exchange"
	"filbertmill.example/exchange/account"
	"filbertmill.example/platform"
)

func TestAnswerMemoryIsAShareOfTheHosts(t *testing.T) {
	callers := account.New(0)
	qt.Check(t, answerMemory(platform.Resources{MemoryMB: 184}, callers).Use().Limit, qt.Equals, int64(46<<20))
	qt.Check(t, answerMemory(platform.Resources{}, callers).Use().Limit, qt.Equals, int64(64<<20))
}

// TestDeliveredRequestHoldsNoAnswerMemory checks that the memory of answers is
// released once their request was delivered, also that of an answer that arrives
// afterwards.
func TestDeliveredRequestHoldsNoAnswerMemory(t *testing.T) {
	n := &Node{}
	in := &protocol.Request{}
	reservations := n.trackAnswers(in)
	m := exchange.NewMemoryBudget(1 << 20)
	reservations.add(m.NewReservation())
	n.releaseAnswers(in)
	n.releaseAnswers(in)
	qt.Check(t, reservations.reservations, qt.HasLen, 0)
	reservations.add(m.NewReservation())
	qt.Check(t, reservations.reservations, qt.HasLen, 0)
	_, ok := n.answerReservations.Load(in)
	qt.Check(t, ok, qt.IsFalse)
}
