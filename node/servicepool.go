package node

import (
	"strconv"
	"time"

	"filbertmill.example/config/dynamic"
	"filbertmill.example/event"
	"filbertmill.example/outcome"
	"filbertmill.example/poison"
	"filbertmill.example/pool"
	"filbertmill.example/retry"
)

// servicePool connects one service's Scheduler to the node. It is the Scheduler's
// Delegate, and is used by the control goroutine only.
type servicePool struct {
	control   *controlLoop
	service   *dynamic.Service
	sched     pool.Scheduler
	endpoints map[string]endpoint
	retries   *retry.Budget
	waiting   map[pool.RequestID]waiter
	// explained is the attempt of the last event on an attempt that the Scheduler
	// has recorded.
	explained pool.RequestID
}

// endpoint is the address of a target and the number of requests that it runs
// concurrently.
type endpoint struct {
	address string
	slots   int
}

// waiter is the receiver of an attempt's grant, and the request id that the
// caller set.
type waiter struct {
	reply   chan<- grant
	request string
}

// grant is the reply to a submitted attempt: a target to run it on, or a refusal.
type grant struct {
	target  string
	address string
	slots   int
	refusal *pool.Refusal
	// explained is set if an event on the refusal was recorded.
	explained bool
}

// newServicePool returns the pool of a service with its configured targets.
func newServicePool(c *controlLoop, svc *dynamic.Service, now time.Time) *servicePool {
	p := &servicePool{
		control: c,
		waiting: make(map[pool.RequestID]waiter),
		retries: retry.NewBudget(retryConfig(svc)),
	}
	cfg := poolConfig(svc, c.config.Targets)
	if svc.Variant == dynamic.VariantDirect {
		p.sched = pool.NewDirect(cfg, p, c.seed)
	} else {
		p.sched = pool.NewHome(cfg, p, c.seed)
	}
	p.configure(svc, now)
	return p
}

// configure applies the service's configuration and that of its targets.
func (p *servicePool) configure(svc *dynamic.Service, now time.Time) {
	p.service = svc
	p.retries.SetConfig(retryConfig(svc))
	p.endpoints = make(map[string]endpoint)
	var targets []pool.Target
	for _, t := range p.control.config.Targets {
		if t.Service != svc.Name {
			continue
		}
		pt := poolTarget(svc, t, p.control.leaving[t.Name])
		targets = append(targets, pt)
		p.endpoints[t.Name] = endpoint{address: t.Address, slots: pt.Slots}
	}
	p.sched.SetConfig(now, poolConfig(svc, p.control.config.Targets))
	p.sched.SetTargets(now, targets)
}

// poolTarget returns the Scheduler's description of a target.
func poolTarget(svc *dynamic.Service, t dynamic.Target, leaving bool) pool.Target {
	pt := pool.Target{
		Name:             t.Name,
		AvailabilityZone: t.AvailabilityZone,
		Slots:            svc.Slots,
		Connections:      svc.Connections,
		Leaving:          leaving,
	}
	if t.Slots > 0 {
		pt.Slots = t.Slots
	}
	if t.Connections > 0 {
		pt.Connections = t.Connections
	}
	return pt
}

// initialProbeWait is how long a home waits for the first probe of a new target
// before it sends requests there. A probe takes about 25 ms.
const initialProbeWait = 150 * time.Millisecond

// poolConfig derives a Scheduler's settings from the fleet configuration.
func poolConfig(svc *dynamic.Service, targets []dynamic.Target) pool.Config {
	slots := 0
	for _, t := range targets {
		if t.Service == svc.Name {
			slots += poolTarget(svc, t, false).Slots
		}
	}
	cfg := pool.DefaultConfig()
	cfg.Service = svc.Name
	cfg.FloorSlots = floorSlots(slots, svc.FloorShare)
	cfg.QueueLimit = svc.QueueLimit
	cfg.CallerShare = svc.CallerShare
	cfg.LongShare = svc.LongShare
	cfg.InitialProbeWait = initialProbeWait
	return cfg
}

// floorSlots returns a share of the slots, rounded up.
func floorSlots(slots int, share float64) int {
	floor := int(float64(slots) * share)
	if float64(floor) < float64(slots)*share {
		floor++
	}
	return floor
}

// Start implements pool.Delegate.
func (p *servicePool) Start(id pool.RequestID, target string) {
	e := p.endpoints[target]
	p.answer(id, grant{target: target, address: e.address, slots: e.slots})
}

// Refuse implements pool.Delegate.
func (p *servicePool) Refuse(id pool.RequestID, r pool.Refusal) {
	p.answer(id, grant{refusal: &r, explained: p.explained == id})
}

// answer sends a grant to the goroutine that waits for it.
func (p *servicePool) answer(id pool.RequestID, g grant) {
	w, ok := p.waiting[id]
	if !ok {
		return
	}
	delete(p.waiting, id)
	w.reply <- g
}

// Probe implements pool.Delegate.
func (p *servicePool) Probe(target string, origin pool.Origin) {
	p.control.env.probe(p.service.Name, target, p.endpoints[target], p.service.ProbePath, origin)
}

// Event implements pool.Delegate. The Scheduler identifies attempts by their own
// ids, operators identify requests by the ids that the callers set.
func (p *servicePool) Event(e event.Event) {
	e.Service = p.service.Name
	if id, err := strconv.ParseUint(e.Request, 10, 64); err == nil {
		p.explained = pool.RequestID(id)
		e.Request = p.waiting[p.explained].request
	}
	p.control.env.Emit(e)
}

// submitCommand submits an attempt to the Scheduler. The grant is sent on reply,
// whose buffer must have room for it.
type submitCommand struct {
	service     string
	request     pool.Request
	fingerprint poison.Fingerprint
	reply       chan<- grant
	// name is the request id that the caller set.
	name string
}

func (m submitCommand) apply(c *controlLoop, now time.Time) {
	p := c.pool(m.service, now)
	if p == nil {
		m.reply <- grant{refusal: &pool.Refusal{Reason: outcome.ReasonNoTarget}}
		return
	}
	if p.refuseIfPoison(now, m) {
		return
	}
	if len(m.request.Exclude) == 0 {
		p.retries.Request(now)
	}
	p.waiting[m.request.ID] = waiter{reply: m.reply, request: m.name}
	p.sched.Submit(now, m.request)
}

// abandonCommand withdraws an attempt for whose grant no goroutine waits any
// more. It frees the slot if one was granted already.
type abandonCommand struct {
	service string
	id      pool.RequestID
	reply   <-chan grant
}

func (m abandonCommand) apply(c *controlLoop, now time.Time) {
	p := c.pools[m.service]
	if p == nil {
		return
	}
	if _, ok := p.waiting[m.id]; ok {
		delete(p.waiting, m.id)
		p.sched.Cancel(now, m.id)
		return
	}
	if g := <-m.reply; g.refusal == nil {
		p.sched.Finish(now, m.id, pool.Result{Verdict: pool.VerdictCancelled})
	}
}

// finishCommand reports the end of a started attempt.
type finishCommand struct {
	service string
	id      pool.RequestID
	result  pool.Result
	attempt attemptEnd
	// notified, if not nil, is closed when each successor has received the
	// quarantine that the attempt led to, or has not answered. It is closed
	// immediately if there is no quarantine.
	notified chan<- struct{}
}

// attemptEnd is what the poison tracker needs to know about an attempt.
type attemptEnd struct {
	target      string
	route       string
	request     string
	fingerprint poison.Fingerprint
	start       time.Time
	crashed     bool
}

func (m finishCommand) apply(c *controlLoop, now time.Time) {
	notified := func() {}
	if m.notified != nil {
		notified = func() { close(m.notified) }
	}
	p := c.pools[m.service]
	if p == nil {
		notified()
		return
	}
	p.sched.Finish(now, m.id, m.result)
	p.trackCrash(now, m, notified)
}

// observeCommand reports the result of a probe.
type observeCommand struct {
	service     string
	observation pool.Observation
}

func (m observeCommand) apply(c *controlLoop, now time.Time) {
	if p := c.pools[m.service]; p != nil {
		p.sched.Observe(now, m.observation)
	}
}

// configCommand brings a configuration into force for all pools.
type configCommand struct {
	config *dynamic.Config
}

func (m configCommand) apply(c *controlLoop, now time.Time) {
	c.config = m.config
	listed := make(map[string]*dynamic.Service)
	for i := range m.config.Services {
		listed[m.config.Services[i].Name] = &m.config.Services[i]
	}
	for name, p := range c.pools {
		svc := listed[name]
		if svc == nil {
			p.sched.SetTargets(now, nil)
			continue
		}
		p.configure(svc, now)
	}
}

// snapshotCommand requests the state of all pools.
type snapshotCommand struct {
	reply chan<- []pool.Snapshot
}

func (m snapshotCommand) apply(c *controlLoop, now time.Time) {
	list := make([]pool.Snapshot, 0, len(c.pools))
	for _, p := range c.pools {
		list = append(list, p.sched.Snapshot(now))
	}
	m.reply <- list
}
