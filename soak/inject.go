package main

import (
	"context"
	"fmt"
	"time"

	"filbertmill.example/testbed/backend"
	"filbertmill.example/testbed/faultproxy"
	"filbertmill.example/testbed/memory"
	"filbertmill.example/testbed/process"
)

// inject plays one step and ends it.
func (w *world) inject(ctx context.Context, s step) {
	w.record.disturbed(s.kind, time.Now())
	defer func() { w.record.disturbed(s.kind, time.Now()) }()
	switch s.kind {
	case killNode, pauseNode, stopNode, killAll:
		w.disturbNode(ctx, s)
	case cutStore, silenceStore:
		disturbLink(ctx, w.nodes[s.index%len(w.nodes)].store, s.kind == silenceStore, s.lasts)
	case configure:
		// A store in trouble refuses; the next version comes with a later step.
		_ = w.configure(ctx)
	case targetLeaves, targetCrashes:
		w.replaceTarget(ctx, s)
	case targetCut, targetOneWay:
		disturbLink(ctx, w.target(s.index).proxy, s.kind == targetOneWay, s.lasts)
	default:
		if behavior, ok := behaviors[s.kind]; ok {
			w.disturbTarget(ctx, s, behavior)
			return
		}
		w.disturbStore(ctx, s)
	}
}

// behaviors are the ways in which targets misbehave.
var behaviors = map[kind]backend.Behavior{
	targetResets: {Work: backendWork, ResetShare: 0.8},
	targetLoses:  {Work: backendWork, LoseShare: 0.8},
	targetFails:  {Work: backendWork, ErrorShare: 0.7},
	targetHangs:  {Work: backendWork, HangShare: 0.6},
	targetFull:   {Work: backendWork, Full: true},
	targetTwice:  {Work: backendWork, ExtraShare: 0.5},
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
		w.setStore(memory.Faults{Away: true})
	case storeRefuses:
		w.setStore(memory.Faults{Refuse: true})
	case storeSlow:
		w.setStore(memory.Faults{Delay: 200 * time.Millisecond})
	case repliesLost:
		w.setStore(memory.Faults{LoseReplies: 2})
	case storeDeaf:
		w.setStore(memory.Faults{DeafWatches: true})
	case storeForgets:
		w.platform.Store.Compact()
	case leasesLapse:
		w.platform.Store.LapseLeases()
	}
	sleep(ctx, s.lasts)
	w.setStore(memory.Faults{})
}

func (w *world) disturbNode(ctx context.Context, s step) {
	if s.kind == killAll {
		for _, n := range w.nodes {
			go w.restart(ctx, n, kill)
		}
		sleep(ctx, s.lasts)
		return
	}
	n := w.nodes[s.index%len(w.nodes)]
	switch s.kind {
	case killNode:
		w.restart(ctx, n, kill)
	case stopNode:
		w.restart(ctx, n, stop)
	case pauseNode:
		p := n.place.Running()
		// A process that another fault has ended needs no pause.
		_ = p.Pause()
		sleep(ctx, s.lasts)
		_ = p.Resume()
	}
}

// restart ends a node and starts it again.
func (w *world) restart(ctx context.Context, n *node, end func(*process.Node)) {
	err := w.startNode(n, func(p *process.Node) {
		end(p)
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

func kill(p *process.Node) { p.Kill() }

// stop ends a process in order; the error of one that was killed meanwhile, or
// of its end, is none of the soak's.
func stop(p *process.Node) {
	_ = p.Terminate()
	_ = p.Wait()
}
