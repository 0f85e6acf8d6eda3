package homes

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"filbertmill.example/fleet/control"
	"filbertmill.example/gateway/balance"
	"filbertmill.example/gateway/limits"
	"filbertmill.example/poison"
)

// Messages to a home.
const (
	// kindSubmit requests a target: a balance.Attempt, answered by a balance.Grant.
	kindSubmit control.Kind = "submit"
	// kindAwait polls a queued attempt: an attemptRef, answered by a balance.Grant.
	kindAwait control.Kind = "await"
	// kindCancel cancels an attempt: an attemptRef.
	kindCancel control.Kind = "cancel"
	// kindFinish reports the result of an attempt: a balance.Report.
	kindFinish control.Kind = "finish"
	// kindContribute transfers retry tokens that were not sent with an attempt, and permits:
	// a list of balance.Contribution, answered by a contributeReply.
	kindContribute control.Kind = "contribute"
)

const (
	// longPollTime is how long the home delays its answer while an attempt is queued.
	// The answer also shows that the home is alive.
	longPollTime = 100 * time.Millisecond
	// abandonTime is the time without a poll after which a queued attempt is cancelled.
	abandonTime = time.Second
)

// attemptRef identifies an attempt.
type attemptRef struct {
	Service string     `cbor:"1,keyasint"`
	ID      balance.ID `cbor:"2,keyasint"`
}

// contributeReply is the answer to a list of balance.Contribution.
type contributeReply struct {
	// Clock is the home's clock.
	Clock time.Duration `cbor:"1,keyasint"`
	// Limits are those of which the sender knows others, by service.
	Limits map[string][]limits.Entry `cbor:"2,keyasint,omitempty"`
	// Quarantine holds the requests that crash targets, or may do so.
	Quarantine []poison.Handover `cbor:"3,keyasint,omitempty"`
}

var errUnknownAttempt = errors.New("the home does not know the attempt")

// Server serves the requests of other nodes to this node as a home.
type Server struct {
	loop *balance.Loop

	mu     sync.Mutex
	queued map[balance.ID]*queuedAttempt
}

// queuedAttempt is an attempt that waits for a target.
type queuedAttempt struct {
	reply   chan balance.Grant
	abandon *time.Timer
}

// Serve returns a Server that passes the requests received over the Transport to the
// Loop.
func Serve(loop *balance.Loop, t *control.Transport) *Server {
	s := &Server{loop: loop, queued: make(map[balance.ID]*queuedAttempt)}
	t.Handle(kindSubmit, s.submit)
	t.Handle(kindAwait, s.await)
	t.Handle(kindCancel, s.cancel)
	t.Handle(kindFinish, s.finish)
	t.Handle(kindContribute, s.contribute)
	t.Handle(kindQuarantine, s.exchangeQuarantine)
	t.Handle(kindExplain, s.explain)
	return s
}

func (s *Server) submit(ctx context.Context, _ string, body []byte) (any, error) {
	var a balance.Attempt
	if err := control.Unmarshal(body, &a); err != nil {
		return nil, err
	}
	q := &queuedAttempt{reply: make(chan balance.Grant, 1)}
	s.loop.Submit(a, func(g balance.Grant) { q.reply <- g })
	return s.waitForGrant(ctx, attemptRef{a.Service, a.ID}, q), nil
}

func (s *Server) await(ctx context.Context, _ string, body []byte) (any, error) {
	var ref attemptRef
	if err := control.Unmarshal(body, &ref); err != nil {
		return nil, err
	}
	q := s.removeQueued(ref.ID)
	if q == nil {
		return nil, errUnknownAttempt
	}
	return s.waitForGrant(ctx, ref, q), nil
}

// waitForGrant waits for the Loop's answer, at most for longPollTime. An attempt that
// is still queued then is kept for the next poll.
func (s *Server) waitForGrant(ctx context.Context, ref attemptRef, q *queuedAttempt) balance.Grant {
	timer := time.NewTimer(longPollTime)
	defer timer.Stop()
	select {
	case g := <-q.reply:
		g.Clock = s.loop.Clock()
		return g
	case <-timer.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queued[ref.ID] = q
	q.abandon = time.AfterFunc(abandonTime, func() {
		if s.removeQueued(ref.ID) != nil {
			s.loop.Cancel(ref.Service, ref.ID)
		}
	})
	return balance.Grant{Queued: true, Clock: s.loop.Clock()}
}

// removeQueued removes and returns a queued attempt, or returns nil if there is none.
func (s *Server) removeQueued(id balance.ID) *queuedAttempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queued[id]
	if q != nil {
		delete(s.queued, id)
		q.abandon.Stop()
	}
	return q
}

func (s *Server) cancel(_ context.Context, _ string, body []byte) (any, error) {
	var ref attemptRef
	if err := control.Unmarshal(body, &ref); err != nil {
		return nil, err
	}
	s.removeQueued(ref.ID)
	s.loop.Cancel(ref.Service, ref.ID)
	return nil, nil
}

func (s *Server) finish(_ context.Context, _ string, body []byte) (any, error) {
	var r balance.Report
	if err := control.Unmarshal(body, &r); err != nil {
		return nil, err
	}
	s.loop.Finish(r)
	return nil, nil
}

func (s *Server) contribute(_ context.Context, _ string, body []byte) (any, error) {
	var list []balance.Contribution
	if err := control.Unmarshal(body, &list); err != nil {
		return nil, err
	}
	told := s.loop.Contribute(list)
	return contributeReply{Clock: s.loop.Clock(), Limits: told.Limits, Quarantine: told.Quarantine}, nil
}
