package homes

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"filbertmill.example/fleet/control"
	"filbertmill.example/gateway/balance"
)

// The messages to a home.
const (
	// kindSubmit asks for a target: a balance.Attempt, answered by a Grant.
	kindSubmit control.Kind = "submit"
	// kindAwait asks again for an attempt that was queued: a reference.
	kindAwait control.Kind = "await"
	// kindCancel withdraws an attempt: a reference.
	kindCancel control.Kind = "cancel"
	// kindFinish reports the end of an attempt: a balance.Report.
	kindFinish control.Kind = "finish"
	// kindTokens brings retry tokens that no question has brought: a list of
	// parcels, answered by the home's clock.
	kindTokens control.Kind = "tokens"
)

const (
	// holdTime is how long the home holds a question about a queued attempt;
	// its answer also shows that the home lives.
	longPollTime = 100 * time.Millisecond
	// abandonTime is how long a queued attempt stays although nobody asks for it.
	abandonTime = time.Second
)

// reference names an attempt.
type attemptRef struct {
	Service string     `cbor:"1,keyasint"`
	ID      balance.ID `cbor:"2,keyasint"`
}

var errUnknownAttempt = errors.New("the home does not know the attempt")

// Server answers other nodes as the home of services.
type Server struct {
	loop *balance.Loop

	mu     sync.Mutex
	queued map[balance.ID]*queuedAttempt
}

// queued is an attempt that waits for a target.
type queuedAttempt struct {
	reply   chan balance.Grant
	abandon *time.Timer
}

// Serve has the Loop answer what other nodes ask over the Transport.
func Serve(loop *balance.Loop, t *control.Transport) *Server {
	s := &Server{loop: loop, queued: make(map[balance.ID]*queuedAttempt)}
	t.Handle(kindSubmit, s.submit)
	t.Handle(kindAwait, s.await)
	t.Handle(kindCancel, s.cancel)
	t.Handle(kindFinish, s.finish)
	t.Handle(kindTokens, s.tokens)
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

// hold waits for the Loop's answer; an attempt that is still queued is kept
// for the next question.
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

// take removes a queued attempt, or returns nil.
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

func (s *Server) tokens(_ context.Context, _ string, body []byte) (any, error) {
	var list []serviceDeposit
	if err := control.Unmarshal(body, &list); err != nil {
		return nil, err
	}
	for _, p := range list {
		s.loop.Deposit(p.Service, p.Deposit, p.SentAt)
	}
	return s.loop.Clock(), nil
}
