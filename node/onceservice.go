package node

import (
	"sync"
	"time"

	"filbertmill.example/once"
	"filbertmill.example/outcome"
)

// minOnceTick is the least time between two looks at a Home.
const minOnceTick = 10 * time.Millisecond

// candidateInterval is the time between two updates of the possible witnesses.
const candidateInterval = time.Second

// onceEnvironment is what the claims of keyed requests need of their node. Its
// methods do not block; the answers come as commands.
type onceEnvironment interface {
	// member is this run of this node's process.
	member() once.Member
	// witnessCandidates names the nodes that may be witnesses, best first.
	// Alone says that the fleet has no other node.
	witnessCandidates(service string) (names []string, alone bool)
	// sendWitness sends a message to a witness of a service and calls ended,
	// if not nil, once it was answered or given up.
	sendWitness(service string, op once.OpID, to once.Member, m once.Message, ended func())
	// readTenure and writeTenure reach the service's record in the store.
	readTenure(service string, op once.OpID)
	writeTenure(service string, op once.OpID, t once.Tenure, after once.Revision)
}

// onceService ties one service's Home to the node; it is the Home's Delegate
// and belongs to the control goroutine.
type onceService struct {
	control    *controlLoop
	service    string
	home       *once.Home
	waiting    map[once.RequestID]chan<- claimVerdict
	candidates time.Time
	// telling counts the messages that the running command sends; nil if it
	// does not ask.
	telling *sync.WaitGroup
}

// maxVerdicts is the most verdicts on one claim that are not read yet: to find
// a place, and the last.
const maxVerdicts = 2

// claimVerdict answers a claim: the request is to find a place, may be
// dispatched, or ends so.
type claimVerdict struct {
	admit    bool
	dispatch bool
	result   once.Result
}

// onceState holds the claims of keyed requests of all services.
type onceState struct {
	homes     map[string]*onceService
	witnesses map[string]*once.Witness
	leaving   bool
}

func newOnceState() onceState {
	return onceState{homes: make(map[string]*onceService), witnesses: make(map[string]*once.Witness)}
}

// onceHome returns the Home of a service, made on first use.
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

// onceWitness returns the Witness of a service, made on first use.
func (c *controlLoop) onceWitness(service string) *once.Witness {
	w := c.once.witnesses[service]
	if w == nil {
		w = once.NewWitness(once.DefaultConfig(), c.env.member())
		w.SetLeaving(c.once.leaving)
		c.once.witnesses[service] = w
	}
	return w
}

// updateCandidates tells the Home which nodes may be witnesses.
func (s *onceService) updateCandidates(now time.Time) {
	if now.Sub(s.candidates) < candidateInterval {
		return
	}
	s.candidates = now
	names, alone := s.control.env.witnessCandidates(s.service)
	s.home.SetCandidates(names, alone)
}

// tick does what is due and returns the time until more is.
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
	return max(next.Sub(now), minOnceTick)
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

// answer hands a verdict to the goroutine that waits for it.
func (s *onceService) answer(id once.RequestID, v claimVerdict) {
	if ch, ok := s.waiting[id]; ok {
		delete(s.waiting, id)
		ch <- v
	}
}

// Send implements once.Delegate.
func (s *onceService) Send(op once.OpID, to once.Member, m once.Message) {
	var ended func()
	if s.telling != nil {
		s.telling.Add(1)
		ended = s.telling.Done
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

// claimCommand asks for leave to dispatch; the verdicts come on reply, which
// must have room for maxVerdicts.
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

// withdrawCommand ends the wait for a verdict. A dispatch that crossed it is
// taken back: nothing was sent.
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

// admittedCommand tells that a request has a place.
type admittedCommand struct {
	service string
	request once.Request
}

func (m admittedCommand) apply(c *controlLoop, now time.Time) {
	c.onceHome(m.service, now).home.Admitted(now, m.request)
}

// notAdmittedCommand tells that a request got no place.
type notAdmittedCommand struct {
	service string
	request once.Request
	result  once.Result
}

func (m notAdmittedCommand) apply(c *controlLoop, now time.Time) {
	c.onceHome(m.service, now).home.Refused(now, m.request, m.result)
}

// notDispatched is the end of a claim whose request was never sent, for those
// who waited behind it.
func notDispatched() once.Result {
	return once.Result{Outcome: outcome.New(outcome.ReasonNoClaim, "the request ahead of this one was withdrawn", 0)}
}

// claimEndCommand reports the end of a dispatched request. The told channel is
// closed once the witnesses know, or do not answer.
type claimEndCommand struct {
	service string
	id      once.RequestID
	result  once.Result
	told    chan<- struct{}
}

func (m claimEndCommand) apply(c *controlLoop, now time.Time) {
	s := c.onceHome(m.service, now)
	telling := &sync.WaitGroup{}
	s.telling = telling
	s.home.Finish(now, m.id, m.result)
	s.telling = nil
	go func() {
		telling.Wait()
		close(m.told)
	}()
}

// ackCommand brings a witness's answer.
type ackCommand struct {
	service  string
	op       once.OpID
	ack      once.Ack
	answered bool
}

func (m ackCommand) apply(c *controlLoop, now time.Time) {
	c.onceHome(m.service, now).home.HandleAck(now, m.op, m.ack, m.answered)
}

// tenureReadCommand brings the record from the store.
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

// tenureWrittenCommand brings the end of a write to the store.
type tenureWrittenCommand struct {
	service  string
	op       once.OpID
	revision once.Revision
	ok       bool
}

func (m tenureWrittenCommand) apply(c *controlLoop, now time.Time) {
	c.onceHome(m.service, now).home.HandleWrite(now, m.op, m.revision, m.ok)
}

// witnessCommand has this node's witness of a service handle a message; the
// answer comes on reply, which must have room for one.
type witnessCommand struct {
	service string
	to      once.Member
	message once.Message
	reply   chan<- once.Ack
}

func (m witnessCommand) apply(c *controlLoop, now time.Time) {
	m.reply <- c.onceWitness(m.service).Receive(now, m.to, m.message)
}

// witnessLeavingCommand has homes replace this node as a witness, and this
// node's homes leave their services to others.
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
