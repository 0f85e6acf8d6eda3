package main

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"filbertmill.example/testbed/backend"
	"filbertmill.example/testbed/endless"
	"filbertmill.example/testbed/faultproxy"
	"filbertmill.example/testbed/memory"
	"filbertmill.example/testbed/process"
)

// inject plays one step and ends it.
func (w *world) inject(ctx context.Context, s step) {
	who := w.subject(s)
	w.record.disturbed(s.kind, who, time.Now())
	defer func() { w.record.disturbed(s.kind, who, time.Now()) }()
	switch s.kind {
	case killNode, pauseNode, stopNode, killAll, stopBusy, reloadNode, rollNodes, rollDrain:
		w.disturbNode(ctx, s)
	case cutStore, silenceStore:
		disturbLink(ctx, w.nodeOf(s).store, s.kind == silenceStore, s.lasts)
	case configure:
		// A store in trouble refuses; the next version comes with a later step.
		_ = w.vary(ctx, s.index)
	case churn:
		for i := range churns {
			_ = w.vary(ctx, s.index+i) // as above
			sleep(ctx, s.lasts/(4*churns))
		}
	case targetLeaves, targetCrashes:
		w.replaceTarget(ctx, s)
	case targetCut, targetOneWay:
		disturbLink(ctx, w.target(s.index).proxy, s.kind == targetOneWay, s.lasts)
	default:
		if behavior, ok := behaviors[s.kind]; ok {
			behavior.Endless = endless.Kinds[s.index%len(endless.Kinds)]
			w.disturbTarget(ctx, s, behavior)
			return
		}
		w.disturbStore(ctx, s)
	}
}

const (
	// churns is the number of configurations that one step writes.
	churns = 4
	// rollDrainNodes is the number of nodes that stop while a target leaves.
	rollDrainNodes = 2
)

// store names the store where a fault concerns no node or target.
const theStore = "store"

// subject returns the node or target that a step concerns; empty for all.
func (w *world) subject(s step) string {
	switch s.kind {
	case killNode, pauseNode, stopNode, cutStore, silenceStore:
		return w.nodeOf(s).spec.Name
	case targetResets, targetLoses, targetFails, targetHangs, targetFull, targetTwice, targetEndless, targetCut, targetOneWay, targetLeaves, targetCrashes:
		return w.target(s.index).ID
	case storeAway, storeRefuses, storeSlow, storeForgets, storeDeaf, leasesLapse, repliesLost:
		return theStore
	}
	return ""
}

func (w *world) nodeOf(s step) *node { return w.nodes[s.index%len(w.nodes)] }

// behaviors are the ways in which targets misbehave.
var behaviors = map[kind]backend.Behavior{
	targetResets: {Work: backendWork, ResetShare: 0.8},
	targetLoses:  {Work: backendWork, LoseShare: 0.8},
	targetFails:  {Work: backendWork, ErrorShare: 0.7},
	targetHangs:  {Work: backendWork, HangShare: 0.6},
	targetFull:   {Work: backendWork, RefuseAll: true},
	targetTwice:  {Work: backendWork, DuplicateShare: 0.5},
	// Of which kind an answer without end is, the step says.
	targetEndless: {Work: backendWork, EndlessShare: 0.4},
}

func (w *world) disturbTarget(ctx context.Context, s step, b backend.Behavior) {
	t := w.target(s.index)
	t.Set(b)
	sleep(ctx, s.lasts)
	t.Set(backend.Behavior{Work: backendWork})
}

// target returns one of the targets.
func (w *world) target(index int) *target {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.targets[index%len(w.targets)]
}

// replaceTarget ends a target, with or without notice; one under a new id
// takes its place.
func (w *world) replaceTarget(ctx context.Context, s step) {
	t := w.target(s.index)
	if !t.replaced.CompareAndSwap(false, true) {
		return // two in its place would have one id
	}
	if s.kind == targetLeaves {
		if t.Leave(ctx) == nil {
			w.record.left(t.ID, time.Now())
		}
		sleep(ctx, drainBound+maxLast)
	}
	t.Close()
	t.proxy.Close()
	id := t.ID + "x"
	tell(ctx, "start target "+id, w.addTarget(id, t.Service, t.AvailabilityZone))
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, other := range w.targets {
		if other == t {
			w.targets = append(w.targets[:i], w.targets[i+1:]...)
			return
		}
	}
}

// disturbLink silences a proxy's way back, or cuts it off, for a time. Its
// connections end with the fault.
func disturbLink(ctx context.Context, p *faultproxy.Proxy, silent bool, lasts time.Duration) {
	if silent {
		p.Set(faultproxy.ToCaller, faultproxy.Fault{BlackHole: true})
	} else {
		p.Refuse(true)
		p.Cut()
	}
	sleep(ctx, lasts)
	p.Refuse(false)
	p.Set(faultproxy.ToCaller, faultproxy.Fault{})
	p.Cut()
}

func (w *world) disturbStore(ctx context.Context, s step) {
	switch s.kind {
	case storeAway:
		w.setStore(memory.Faults{Unavailable: true})
	case storeRefuses:
		w.setStore(memory.Faults{Refuse: true})
	case storeSlow:
		w.setStore(memory.Faults{Delay: 200 * time.Millisecond})
	case repliesLost:
		w.setStore(memory.Faults{LoseReplies: 2})
	case storeDeaf:
		w.setStore(memory.Faults{DropWatchEvents: true})
	case storeForgets:
		w.platform.Store.Compact()
	case leasesLapse:
		w.platform.Store.ExpireLeases()
	}
	sleep(ctx, s.lasts)
	w.setStore(memory.Faults{})
}

func (w *world) disturbNode(ctx context.Context, s step) {
	n := w.nodeOf(s)
	switch s.kind {
	case killAll:
		for _, n := range w.nodes {
			go w.restart(ctx, n, w.kill)
		}
		sleep(ctx, s.lasts)
	case killNode:
		w.restart(ctx, n, w.kill)
	case stopNode:
		w.restart(ctx, n, w.stop)
	case stopBusy:
		w.restart(ctx, w.busiest(), w.stop)
	case rollNodes:
		w.roll(ctx, s, len(w.nodes)/2)
	case rollDrain:
		var leaving sync.WaitGroup
		leaving.Go(func() { w.replaceTarget(ctx, step{kind: targetLeaves, index: s.index}) })
		w.roll(ctx, s, min(rollDrainNodes, len(w.nodes)))
		leaving.Wait()
	case reloadNode:
		w.reload(ctx, n, s)
	case pauseNode:
		p := n.place.Latest()
		// A process that another fault has ended needs no pause.
		_ = p.Pause()
		sleep(ctx, s.lasts)
		_ = p.Resume()
	}
}

// roll stops and restarts nodes one after another, each before the one before it
// is back.
func (w *world) roll(ctx context.Context, s step, count int) {
	var all sync.WaitGroup
	for i := range count {
		all.Go(func() { w.restart(ctx, w.nodes[(s.index+i)%len(w.nodes)], w.stop) })
		sleep(ctx, s.lasts/time.Duration(count))
	}
	all.Wait()
}

// busiest returns the node with the most requests in work.
func (w *world) busiest() *node {
	due := w.record.dueByNode()
	return slices.MaxFunc(w.nodes, func(a, b *node) int { return cmp.Compare(due[a.spec.Name], due[b.spec.Name]) })
}

// reload changes a node's settings file and tells its process.
func (w *world) reload(ctx context.Context, n *node, s step) {
	w.mu.Lock()
	spec := n.spec
	spec.MemoryMB = process.DefaultMemoryMB + s.index
	w.mu.Unlock()
	p, life := n.place.Latest(), n.place.Starts()
	if err := spec.Write(w.dir); err != nil {
		tell(ctx, "change the settings of "+spec.Name, err)
		return
	}
	now := time.Now()
	w.record.worked(span{kind: reloadNode, node: spec.Name, life: life, from: now, to: now.Add(applyBound)})
	// A process that another step has ended needs no signal.
	_ = p.Reload()
}

// restart ends a node and starts it again.
func (w *world) restart(ctx context.Context, n *node, end func(*node, *process.Node)) {
	err := w.startNode(n, func(p *process.Node) {
		end(n, p)
		sleep(ctx, restartDelay)
	})
	tell(ctx, "start "+n.spec.Name, err)
}

// tell prints what went wrong in the world itself, while the run goes on.
func tell(ctx context.Context, what string, err error) {
	if err != nil && ctx.Err() == nil {
		fmt.Printf("soak: %s: %v\n", what, err)
	}
}

// kill ends a process at once.
func (w *world) kill(n *node, p *process.Node) {
	w.record.disturbed(killNode, n.spec.Name, time.Now())
	p.Kill()
}

// stop ends a process in order, and at once when its grace has passed. The
// error of one that ended meanwhile, or of its end, is none of the soak's.
func (w *world) stop(n *node, p *process.Node) {
	now := time.Now()
	w.record.worked(span{kind: stopNode, node: n.spec.Name, life: n.place.Starts(), from: now, to: now.Add(graceTime + time.Second)})
	_ = p.Terminate()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = p.Wait()
	}()
	select {
	case <-ended:
	case <-time.After(graceTime):
		w.record.overran(n.spec.Name)
		w.kill(n, p)
	}
}
