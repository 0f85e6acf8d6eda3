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

// servicePool ties one service's Scheduler to the node; it is the Scheduler's
// Delegate and belongs to the control goroutine.
type servicePool struct {
	control   *controlLoop
	service   *dynamic.Service
	sched     pool.Scheduler
	endpoints map[string]endpoint
	retries   *retry.Budget
	waiting   map[pool.RequestID]waiter
	// explained is the attempt whose refusal the Scheduler has just recorded.
	explained pool.RequestID
}

// endpoint says where a target listens and how many requests it runs at once.
type endpoint struct {
	address string
	slots   int
}

// waiter is where the grant of an attempt goes, and the id that the caller
// gave the request.
type waiter struct {
	reply   chan<- grant
	request string
}

// grant answers an admission: a target to run on, or a refusal.
type grant struct {
	target  string
	address string
	slots   int
	refusal *pool.Refusal
	// explained says that an event on the refusal was recorded.
	explained bool
}

// newServicePool makes the pool of a service with the targets listed for it.
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

// configure brings a configuration into force.
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

// poolTarget describes a target to the Scheduler.
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

// firstLook is how long a home that has just met a target waits to see it
// before it sends work there; a probe takes about 25 ms.
const firstLook = 150 * time.Millisecond

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
	cfg.InitialProbeWait = firstLook
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

// answer hands a grant to the goroutine that waits for it.
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

// Event implements pool.Delegate. The Scheduler knows attempts by their own
// ids; operators know requests by those of the callers.
func (p *servicePool) Event(e event.Event) {
	e.Service = p.service.Name
	if id, err := strconv.ParseUint(e.Request, 10, 64); err == nil {
		p.explained = pool.RequestID(id)
		e.Request = p.waiting[p.explained].request
	}
	p.control.env.Emit(e)
}

// submitCommand offers an attempt; the grant comes on reply, which must have
// room for one.
type submitCommand struct {
	service     string
	request     pool.Request
	fingerprint poison.Fingerprint
	reply       chan<- grant
	// name is the request's id as the caller gave it.
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

// abandonCommand withdraws an attempt whose grant nobody waits for any more.
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
	// told, if not nil, is closed once the successors know of a quarantine
	// that the attempt led to, or do not answer.
	told chan<- struct{}
}

// attemptEnd is what the poison tracker must know of an attempt.
type attemptEnd struct {
	target      string
	route       string
	request     string
	fingerprint poison.Fingerprint
	start       time.Time
	crashed     bool
}

func (m finishCommand) apply(c *controlLoop, now time.Time) {
	told := func() {}
	if m.told != nil {
		told = func() { close(m.told) }
	}
	p := c.pools[m.service]
	if p == nil {
		told()
		return
	}
	p.sched.Finish(now, m.id, m.result)
	p.judge(now, m, told)
}

// observeCommand reports the answer to a probe.
type observeCommand struct {
	service     string
	observation pool.Observation
}

func (m observeCommand) apply(c *controlLoop, now time.Time) {
	if p := c.pools[m.service]; p != nil {
		p.sched.Observe(now, m.observation)
	}
}

// configCommand brings a whole configuration into force.
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

// snapshotCommand asks for the state of all pools.
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
