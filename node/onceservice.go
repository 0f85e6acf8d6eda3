package node

import (
	"sync"
	"time"

	"filbertmill.example/once"
	"filbertmill.example/outcome"
)

// minOnceTickInterval is the shortest time between two ticks of a Home.
const minOnceTickInterval = 10 * time.Millisecond

// candidateInterval is the shortest time between two updates of the nodes that
// may be witnesses.
const candidateInterval = time.Second

// onceEnvironment is what the claims of keyed requests need from their node. A
// claim is the recorded right to run the request with an idempotency key once;
// a witness is a node that keeps a copy of a home's claims. The methods do not
// block; the replies arrive as commands.
type onceEnvironment interface {
	// member identifies this run of this node's process.
	member() once.Member
	// witnessCandidates returns the names of the nodes that may be witnesses,
	// best first. alone is set if the fleet has no other node.
	witnessCandidates(service string) (names []string, alone bool)
	// sendWitness sends a message to a witness of a service. It calls ended, if
	// not nil, when the witness has answered or the call has failed.
	sendWitness(service string, op once.OpID, to once.Member, m once.Message, ended func())
	// readTenure and writeTenure read and write the service's record in the
	// store. A tenure is the exclusive right to dispatch the keyed requests of a
	// service, under a fencing epoch.
	readTenure(service string, op once.OpID)
	writeTenure(service string, op once.OpID, t once.Tenure, after once.Revision)
}

// onceService connects the Home of one service's claims to the node. It is the
// Home's Delegate, and is used by the control goroutine only.
type onceService struct {
	control *controlLoop
	service string
	home    *once.Home
	waiting map[once.RequestID]chan<- claimVerdict
	// candidatesUpdated is when the possible witnesses were last updated.
	candidatesUpdated time.Time
	// notifications counts the unanswered messages that the current command has
	// sent. It is nil if the command does not wait for them.
	notifications *sync.WaitGroup
}

// maxVerdicts is the most verdicts on one claim that can be unread: the one to
// acquire a slot, and the last one.
const maxVerdicts = 2

// claimVerdict is the Home's reply to a claim. With admit, the request is to
// acquire a slot; with dispatch, it may be sent to a target; otherwise result is
// its outcome.
type claimVerdict struct {
	admit    bool
	dispatch bool
	result   once.Result
}

// onceState holds the claims of the keyed requests of all services, those that
// this node manages as the home and those that it keeps as a witness.
type onceState struct {
	homes     map[string]*onceService
	witnesses map[string]*once.Witness
	leaving   bool
}

func newOnceState() onceState {
	return onceState{homes: make(map[string]*onceService), witnesses: make(map[string]*once.Witness)}
}

// onceHome returns the Home of a service, created on first use.
func (c *controlLoop) onceHome(service string, now time.Time) *onceService {
	s := c.once.homes[service]
	if s == nil {
		s = &onceService{control: c, service: service, waiting: make(map[once.RequestID]chan<- claimVerdict)}
		s.home = once.NewHome(once.DefaultConfig(), c.env.member(), s)
		if c.once.leaving {
			s.home.SetLeaving(now)
		}
		c.once.homes[service] = s
	}
	return s
}

// onceWitness returns the Witness of a service, created on first use.
func (c *controlLoop) onceWitness(service string) *once.Witness {
	w := c.once.witnesses[service]
	if w == nil {
		w = once.NewWitness(once.DefaultConfig(), c.env.member())
		w.SetLeaving(c.once.leaving)
		c.once.witnesses[service] = w
	}
	return w
}

// updateCandidates passes the names of the possible witnesses to the Home, once
// per candidateInterval at most.
func (s *onceService) updateCandidates(now time.Time) {
	if now.Sub(s.candidatesUpdated) < candidateInterval {
		return
	}
	s.candidatesUpdated = now
	names, alone := s.control.env.witnessCandidates(s.service)
	s.home.SetCandidates(names, alone)
}

// tick does the work that is due and returns the time until more is due.
func (s *onceService) tick(now time.Time) time.Duration {
	next := s.home.Next()
	if next.IsZero() {
		return prepareInterval
	}
	if !next.After(now) {
		s.updateCandidates(now)
		s.home.Tick(now)
		next = s.home.Next()
	}
	return max(next.Sub(now), minOnceTickInterval)
}

// Admit implements once.Delegate.
func (s *onceService) Admit(id once.RequestID) {
	if ch, ok := s.waiting[id]; ok {
		ch <- claimVerdict{admit: true}
	}
}

// Dispatch implements once.Delegate.
func (s *onceService) Dispatch(id once.RequestID) {
	s.answer(id, claimVerdict{dispatch: true})
}

// Reply implements once.Delegate.
func (s *onceService) Reply(id once.RequestID, r once.Result) {
	s.answer(id, claimVerdict{result: r})
}

// answer sends a claim's last verdict to the goroutine that waits for it.
func (s *onceService) answer(id once.RequestID, v claimVerdict) {
	if ch, ok := s.waiting[id]; ok {
		delete(s.waiting, id)
		ch <- v
	}
}

// Send implements once.Delegate.
func (s *onceService) Send(op once.OpID, to once.Member, m once.Message) {
	var ended func()
	if s.notifications != nil {
		s.notifications.Add(1)
		ended = s.notifications.Done
	}
	s.control.env.sendWitness(s.service, op, to, m, ended)
}

// Read implements once.Delegate.
func (s *onceService) Read(op once.OpID) {
	s.control.env.readTenure(s.service, op)
}

// Write implements once.Delegate.
func (s *onceService) Write(op once.OpID, t once.Tenure, after once.Revision) {
	s.control.env.writeTenure(s.service, op, t, after)
}

// claimCommand requests a claim of a key. The verdicts are sent on reply, whose
// buffer must have room for maxVerdicts.
type claimCommand struct {
	service string
	request once.Request
	reply   chan<- claimVerdict
}

func (m claimCommand) apply(c *controlLoop, now time.Time) {
	s := c.onceHome(m.service, now)
	s.updateCandidates(now)
	s.waiting[m.request.ID] = m.reply
	s.home.Submit(now, m.request)
}

// withdrawCommand withdraws a claim. If the Home has already permitted the
// dispatch, the claim ends as not dispatched, since nothing was sent.
type withdrawCommand struct {
	service string
	request once.Request
	reply   <-chan claimVerdict
}

func (m withdrawCommand) apply(c *controlLoop, now time.Time) {
	s := c.onceHome(m.service, now)
	if _, ok := s.waiting[m.request.ID]; ok {
		delete(s.waiting, m.request.ID)
		s.home.Cancel(now, m.request)
		return
	}
	for {
		v := <-m.reply
		switch {
		case v.admit:
			continue
		case v.dispatch:
			s.home.Finish(now, m.request.ID, notDispatched())
		}
		return
	}
}

// admittedCommand reports that a request has acquired a slot.
type admittedCommand struct {
	service string
	request once.Request
}

func (m admittedCommand) apply(c *controlLoop, now time.Time) {
	c.onceHome(m.service, now).home.Admitted(now, m.request)
}

// notAdmittedCommand reports that a request was refused a slot.
type notAdmittedCommand struct {
	service string
	request once.Request
	result  once.Result
}

func (m notAdmittedCommand) apply(c *controlLoop, now time.Time) {
	c.onceHome(m.service, now).home.Refused(now, m.request, m.result)
}

// notDispatched returns the result of a claim whose request was never sent. It
// is for the requests with the same key that wait for the outcome.
func notDispatched() once.Result {
	return once.Result{Outcome: outcome.New(outcome.ReasonNoClaim, "the request ahead of this one was withdrawn", 0)}
}

// claimEndCommand reports the outcome of a dispatched request. The channel
// notified is closed when each witness has received it or has not answered in
// time.
type claimEndCommand struct {
	service  string
	id       once.RequestID
	result   once.Result
	notified chan<- struct{}
}

func (m claimEndCommand) apply(c *controlLoop, now time.Time) {
	s := c.onceHome(m.service, now)
	notifications := &sync.WaitGroup{}
	s.notifications = notifications
	s.home.Finish(now, m.id, m.result)
	s.notifications = nil
	go func() {
		notifications.Wait()
		close(m.notified)
	}()
}

// ackCommand delivers a witness's answer to the Home. answered is false if the
// witness did not answer.
type ackCommand struct {
	service  string
	op       once.OpID
	ack      once.Ack
	answered bool
}

func (m ackCommand) apply(c *controlLoop, now time.Time) {
	c.onceHome(m.service, now).home.HandleAck(now, m.op, m.ack, m.answered)
}

// tenureReadCommand delivers the result of readTenure to the Home.
type tenureReadCommand struct {
	service  string
	op       once.OpID
	tenure   once.Tenure
	revision once.Revision
	ok       bool
}

func (m tenureReadCommand) apply(c *controlLoop, now time.Time) {
	c.onceHome(m.service, now).home.HandleRead(now, m.op, m.tenure, m.revision, m.ok)
}

// tenureWrittenCommand delivers the result of writeTenure to the Home.
type tenureWrittenCommand struct {
	service  string
	op       once.OpID
	revision once.Revision
	ok       bool
}

func (m tenureWrittenCommand) apply(c *controlLoop, now time.Time) {
	c.onceHome(m.service, now).home.HandleWrite(now, m.op, m.revision, m.ok)
}

// witnessCommand has this node's Witness of a service handle a message. The
// answer is sent on reply, whose buffer must have room for it.
type witnessCommand struct {
	service string
	to      once.Member
	message once.Message
	reply   chan<- once.Ack
}

func (m witnessCommand) apply(c *controlLoop, now time.Time) {
	m.reply <- c.onceWitness(m.service).Receive(now, m.to, m.message)
}

// witnessLeavingCommand marks this node as leaving. Its Witnesses then report
// this to the homes of other nodes, which replace them; its own Homes hand their
// services over to other nodes.
type witnessLeavingCommand struct{}

func (witnessLeavingCommand) apply(c *controlLoop, now time.Time) {
	c.once.leaving = true
	for _, w := range c.once.witnesses {
		w.SetLeaving(true)
	}
	for _, s := range c.once.homes {
		s.home.SetLeaving(now)
	}
}
