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

// inject starts the fault of one step and ends it after its duration.
func (w *world) inject(ctx context.Context, s step) {
	who := w.subject(s)
	w.history.recordFault(s.kind, who, time.Now())
	defer func() { w.history.recordFault(s.kind, who, time.Now()) }()
	switch s.kind {
	case killNode, pauseNode, stopNode, killAll, stopBusy, reloadNode, rollNodes, rollDrain:
		w.disturbNode(ctx, s)
	case cutStore, silenceStore:
		disturbLink(ctx, w.nodeOf(s).store, w.storeLink(), s.kind == silenceStore, s.duration)
	case configure:
		// A faulty store may refuse the write; a later step writes the next version.
		_ = w.configureVariant(ctx, s.index)
	case churn:
		for i := range churnWrites {
			_ = w.configureVariant(ctx, s.index+i) // errors are ignored as above
			sleep(ctx, s.duration/(4*churnWrites))
		}
	case targetLeaves, targetCrashes:
		w.replaceTarget(ctx, s)
	case targetLimits, targetTells, targetPauses:
		w.disturbByAdvice(ctx, s)
	case targetCut, targetOneWay:
		disturbLink(ctx, w.target(s.index).proxy, faultproxy.Fault{}, s.kind == targetOneWay, s.duration)
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
	// churnWrites is the number of configurations that one churn step writes.
	churnWrites = 4
	// rollDrainNodes is the number of nodes that stop while a target leaves.
	rollDrainNodes = 2
)

// storeSubject is the subject of faults of the store.
const storeSubject = "store"

// subject returns the node or target that a step concerns, storeSubject, or an empty
// string for all.
func (w *world) subject(s step) string {
	switch s.kind {
	case killNode, pauseNode, stopNode, cutStore, silenceStore:
		return w.nodeOf(s).spec.Name
	case targetResets, targetLoses, targetFails, targetHangs, targetFull, targetTwice, targetEndless, targetCut, targetOneWay, targetLeaves, targetCrashes, targetLimits, targetTells, targetPauses:
		return w.target(s.index).ID
	case storeAway, storeRefuses, storeSlow, storeForgets, storeDeaf, leasesLapse, repliesLost:
		return storeSubject
	}
	return ""
}

func (w *world) nodeOf(s step) *node { return w.nodes[s.index%len(w.nodes)] }

// behaviors are the faulty behaviors of targets by fault.
var behaviors = map[kind]backend.Behavior{
	targetResets: {Work: backendWork, ResetShare: 0.8},
	targetLoses:  {Work: backendWork, LoseShare: 0.8},
	targetFails:  {Work: backendWork, ErrorShare: 0.7},
	targetHangs:  {Work: backendWork, HangShare: 0.6},
	targetFull:   {Work: backendWork, RefuseAll: true},
	targetTwice:  {Work: backendWork, DuplicateShare: 0.5},
	// The step selects the kind of endless answer.
	targetEndless: {Work: backendWork, EndlessShare: 0.4},
}

func (w *world) disturbTarget(ctx context.Context, s step, b backend.Behavior) {
	t := w.target(s.index)
	if t.advising.Load() {
		return
	}
	t.Set(b)
	sleep(ctx, s.duration)
	if !t.advising.Load() {
		t.Set(backend.Behavior{Work: backendWork})
	}
}

// target returns one of the targets.
func (w *world) target(index int) *target {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.targets[index%len(w.targets)]
}

// replaceTarget ends a target, with or without notice, and starts one under a new id
// in its place.
func (w *world) replaceTarget(ctx context.Context, s step) {
	t := w.target(s.index)
	if !t.replacing.CompareAndSwap(false, true) {
		return // a second replacement would have the same id
	}
	if s.kind == targetLeaves {
		if t.Leave(ctx) == nil {
			w.history.recordLeave(t.ID, time.Now())
		}
		sleep(ctx, drainBound+maxDuration)
	}
	w.replace(ctx, t)
}

// replace ends a target and starts one under a new id in its place.
func (w *world) replace(ctx context.Context, t *target) {
	t.Close()
	t.proxy.Close()
	id := t.ID + "x"
	printProblem(ctx, "start target "+id, w.addTarget(id, t.Service, t.AvailabilityZone))
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, other := range w.targets {
		if other == t {
			w.targets = append(w.targets[:i], w.targets[i+1:]...)
			return
		}
	}
}

// disturbLink for a time drops a proxy's bytes to its caller, or refuses and ends
// its connections. All connections end with the fault, after which the link is as before.
func disturbLink(ctx context.Context, p *faultproxy.Proxy, before faultproxy.Fault, silent bool, lasts time.Duration) {
	if silent {
		p.Set(faultproxy.ToCaller, faultproxy.Fault{BlackHole: true})
	} else {
		p.Refuse(true)
		p.Cut()
	}
	sleep(ctx, lasts)
	p.Refuse(false)
	p.Set(faultproxy.ToCaller, before)
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
	sleep(ctx, s.duration)
	w.setStore(memory.Faults{})
}

func (w *world) disturbNode(ctx context.Context, s step) {
	n := w.nodeOf(s)
	switch s.kind {
	case killAll:
		for _, n := range w.nodes {
			go w.restart(ctx, n, w.kill)
		}
		sleep(ctx, s.duration)
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
		p := n.processes.Latest()
		// Pausing fails if another fault has ended the process; that is ignored.
		_ = p.Pause()
		sleep(ctx, s.duration)
		_ = p.Resume()
	}
}

// roll stops and restarts nodes one after another. It stops the next node before the
// previous one is back.
func (w *world) roll(ctx context.Context, s step, count int) {
	var all sync.WaitGroup
	for i := range count {
		all.Go(func() { w.restart(ctx, w.nodes[(s.index+i)%len(w.nodes)], w.stop) })
		sleep(ctx, s.duration/time.Duration(count))
	}
	all.Wait()
}

// busiest returns the node with the most requests in flight.
func (w *world) busiest() *node {
	pending := w.history.pendingByNode()
	return slices.MaxFunc(w.nodes, func(a, b *node) int { return cmp.Compare(pending[a.spec.Name], pending[b.spec.Name]) })
}

// reload changes a node's settings file and signals its process to read it.
func (w *world) reload(ctx context.Context, n *node, s step) {
	w.mu.Lock()
	spec := n.spec
	spec.MemoryMB = process.DefaultMemoryMB + s.index
	w.mu.Unlock()
	p, life := n.processes.Latest(), n.processes.Starts()
	if err := spec.Write(w.dir); err != nil {
		printProblem(ctx, "change the settings of "+spec.Name, err)
		return
	}
	now := time.Now()
	w.history.recordPlanned(plannedWork{kind: reloadNode, node: spec.Name, life: life, from: now, to: now.Add(applyBound)})
	// Signaling fails if another step has ended the process; that is ignored.
	_ = p.Reload()
}

// restart ends the process of a node and starts another.
func (w *world) restart(ctx context.Context, n *node, end func(*node, *process.Node)) {
	err := w.startNode(n, func(p *process.Node) {
		end(n, p)
		sleep(ctx, restartDelay)
	})
	printProblem(ctx, "start "+n.spec.Name, err)
}

// printProblem prints an error in the test setup, which does not end the run.
func printProblem(ctx context.Context, what string, err error) {
	if err != nil && ctx.Err() == nil {
		fmt.Printf("soak: %s: %v\n", what, err)
	}
}

// kill ends a process immediately.
func (w *world) kill(n *node, p *process.Node) {
	w.history.recordFault(killNode, n.spec.Name, time.Now())
	p.Kill()
}

// stop shuts a process down with SIGTERM and kills it after its grace period. Errors
// are ignored: the process may have ended in the meantime, and it may exit with an
// error.
func (w *world) stop(n *node, p *process.Node) {
	now := time.Now()
	w.history.recordPlanned(plannedWork{kind: stopNode, node: n.spec.Name, life: n.processes.Starts(), from: now, to: now.Add(graceTime + time.Second)})
	_ = p.Terminate()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = p.Wait()
	}()
	select {
	case <-ended:
	case <-time.After(graceTime):
		w.history.recordOverrun(n.spec.Name)
		w.kill(n, p)
	}
}
