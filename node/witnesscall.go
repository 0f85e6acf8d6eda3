package node

import (
	"context"
	"time"

	"filbertmill.example/fleet/control"
	"filbertmill.example/once"
)

const (
	// witnessTimeout limits the wait for a witness's answer to a short message.
	witnessTimeout = time.Second
	// copyTimeout limits the time to send or receive a complete copy of claims.
	copyTimeout = 10 * time.Second
)

// sendWitness implements onceEnvironment.
func (n *Node) sendWitness(service string, op once.OpID, to once.Member, m once.Message, ended func()) {
	go func() {
		if ended != nil {
			defer ended()
		}
		ack, err := n.callWitness(service, to, m)
		if op == 0 {
			return
		}
		n.control.send(ackCommand{service: service, op: op, ack: ack, answered: err == nil})
	}()
}

// callWitness sends a message to a witness and waits for its answer.
func (n *Node) callWitness(service string, to once.Member, m once.Message) (once.Ack, error) {
	timeout := witnessTimeout
	switch m.(type) {
	case once.Seal, once.Install:
		timeout = copyTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if to.Name == n.settings.Name {
		return n.deliverToWitness(ctx, service, to, m)
	}
	peer, err := n.peerNamed(ctx, to.Name)
	if err != nil {
		return once.Ack{}, err
	}
	switch m := m.(type) {
	case once.Enlist:
		return callSimple(ctx, n, peer, kindEnlist, witnessMessage[once.Enlist]{Service: service, To: to})
	case once.Intent:
		return callSimple(ctx, n, peer, kindIntent, witnessMessage[once.Intent]{Service: service, To: to, Message: m})
	case once.Done:
		return callSimple(ctx, n, peer, kindDone, witnessMessage[once.Done]{Service: service, To: to, Message: m})
	case once.Release:
		return callSimple(ctx, n, peer, kindRelease, witnessMessage[once.Release]{Service: service, To: to, Message: m})
	case once.Seal:
		return n.callSeal(ctx, peer, witnessMessage[once.Seal]{Service: service, To: to, Message: m})
	case once.Install:
		return n.callInstall(ctx, peer, witnessMessage[once.Install]{Service: service, To: to, Message: m})
	}
	panic("node: a witness message of an unknown type")
}

// callSimple sends a message that is not split into pages.
func callSimple(ctx context.Context, n *Node, to control.Peer, kind control.Kind, m any) (once.Ack, error) {
	var reply witnessReply
	err := n.membership.transport.Call(ctx, to, kind, m, &reply)
	return reply.Ack, err
}

// callSeal seals a witness, which then refuses messages of earlier epochs. It
// returns the witness's copy of the claims, joined from all its pages.
func (n *Node) callSeal(ctx context.Context, to control.Peer, m witnessMessage[once.Seal]) (once.Ack, error) {
	var reply witnessReply
	if err := n.membership.transport.Call(ctx, to, kindSeal, m, &reply); err != nil {
		return once.Ack{}, err
	}
	ack := reply.Ack
	for reply.More {
		m.Page++
		reply = witnessReply{}
		if err := n.membership.transport.Call(ctx, to, kindCopy, m, &reply); err != nil {
			return once.Ack{}, err
		}
		if reply.Ack.Copy == nil {
			return once.Ack{}, errNoSuchPage
		}
		ack.Copy.Records = append(ack.Copy.Records, reply.Ack.Copy.Records...)
	}
	return ack, nil
}

// callInstall sends a copy page by page.
func (n *Node) callInstall(ctx context.Context, to control.Peer, m witnessMessage[once.Install]) (once.Ack, error) {
	list := pages(m.Message.Copy.Records)
	var reply witnessReply
	for i, records := range list {
		m.Page = i
		m.More = i+1 < len(list)
		m.Message.Copy.Records = records
		reply = witnessReply{}
		if err := n.membership.transport.Call(ctx, to, kindInstall, m, &reply); err != nil {
			return once.Ack{}, err
		}
	}
	return reply.Ack, nil
}
