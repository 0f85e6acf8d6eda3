package node

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"filbertmill.example/fleet/control"
	"filbertmill.example/once"
)

// The kinds of messages between a home and the witnesses of its claims.
const (
	kindEnlist  control.Kind = "once.enlist"
	kindSeal    control.Kind = "once.seal"
	kindCopy    control.Kind = "once.copy"
	kindInstall control.Kind = "once.install"
	kindIntent  control.Kind = "once.intent"
	kindDone    control.Kind = "once.done"
	kindRelease control.Kind = "once.release"
)

// pageBytes is the size, roughly, at which a copy of claims is cut into pages.
const pageBytes = 512 << 10

// recordOverhead is what a record takes on the wire besides its key and answer.
const recordOverhead = 128

var errNoSuchPage = errors.New("no such page of a copy")

// witnessMessage is a message on the wire.
type witnessMessage[M once.Message] struct {
	Service string      `cbor:"1,keyasint"`
	To      once.Member `cbor:"2,keyasint"`
	Message M           `cbor:"3,keyasint"`
	// Page numbers the parts of an Install, or of the answer to a Seal.
	Page int `cbor:"4,keyasint,omitempty"`
	// More says that another part follows.
	More bool `cbor:"5,keyasint,omitempty"`
}

// witnessReply is the answer to a message on the wire.
type witnessReply struct {
	Ack once.Ack `cbor:"1,keyasint"`
	// More says that the copy goes on in another page.
	More bool `cbor:"2,keyasint,omitempty"`
}

// pages cuts records into parts that fit into a message; at least one.
func pages(records []once.Record) [][]once.Record {
	var out [][]once.Record
	start, size := 0, 0
	for i, r := range records {
		n := recordOverhead + len(r.Key) + r.Answer.Size()
		if size > 0 && size+n > pageBytes {
			out = append(out, records[start:i])
			start, size = i, 0
		}
		size += n
	}
	return append(out, records[start:])
}

// copyBox holds the copies that are on their way in or out, one of each for a
// service.
type copyBox struct {
	mu  sync.Mutex
	in  map[string]*incomingCopy
	out map[string]*outgoingCopy
}

// incomingCopy is an Install of which some pages have come.
type incomingCopy struct {
	install once.Install
	next    int
}

// outgoingCopy is the answer to a Seal.
type outgoingCopy struct {
	seal  once.Seal
	ack   once.Ack
	pages [][]once.Record
}

func newCopyBox() *copyBox {
	return &copyBox{in: make(map[string]*incomingCopy), out: make(map[string]*outgoingCopy)}
}

// add takes one page of an Install. It returns the whole one with the last page.
func (b *copyBox) add(m witnessMessage[once.Install]) (whole *once.Install, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.in[m.Service]
	if m.Page == 0 {
		c = &incomingCopy{install: m.Message}
		b.in[m.Service] = c
	} else {
		if c == nil || c.next != m.Page || c.install.Epoch != m.Message.Epoch || c.install.Holder != m.Message.Holder {
			return nil, errNoSuchPage
		}
		c.install.Copy.Records = append(c.install.Copy.Records, m.Message.Copy.Records...)
	}
	c.next = m.Page + 1
	if m.More {
		return nil, nil
	}
	delete(b.in, m.Service)
	return &c.install, nil
}

// put keeps the answer to a Seal for the pages after the first.
func (b *copyBox) put(service string, seal once.Seal, ack once.Ack) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.out[service] = &outgoingCopy{seal: seal, ack: ack, pages: pages(ack.Copy.Records)}
}

// page returns one page of the answer to a Seal. The last one ends its keeping.
func (b *copyBox) page(service string, seal once.Seal, page int) (witnessReply, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.out[service]
	if c == nil || c.seal != seal || page < 0 || page >= len(c.pages) {
		return witnessReply{}, errNoSuchPage
	}
	reply := witnessReply{Ack: c.ack, More: page+1 < len(c.pages)}
	reply.Ack.Copy = &once.Copy{Records: c.pages[page], LostLeft: c.ack.Copy.LostLeft}
	if !reply.More {
		delete(b.out, service)
	}
	return reply, nil
}

// connectWitness has the node answer the homes that it is a witness for.
func (n *Node) connectWitness(t *control.Transport) {
	t.Handle(kindEnlist, handleWitness[once.Enlist](n))
	t.Handle(kindIntent, handleWitness[once.Intent](n))
	t.Handle(kindDone, handleWitness[once.Done](n))
	t.Handle(kindRelease, handleWitness[once.Release](n))
	t.Handle(kindSeal, n.handleSeal)
	t.Handle(kindCopy, n.handleCopy)
	t.Handle(kindInstall, n.handleInstall)
}

// handleWitness returns the handler of a message that needs no pages.
func handleWitness[M once.Message](n *Node) control.Handler {
	return func(ctx context.Context, _ string, body []byte) (any, error) {
		var m witnessMessage[M]
		if err := control.Unmarshal(body, &m); err != nil {
			return nil, err
		}
		ack, err := n.askWitness(ctx, m.Service, m.To, m.Message)
		return witnessReply{Ack: ack}, err
	}
}

func (n *Node) handleSeal(ctx context.Context, _ string, body []byte) (any, error) {
	var m witnessMessage[once.Seal]
	if err := control.Unmarshal(body, &m); err != nil {
		return nil, err
	}
	ack, err := n.askWitness(ctx, m.Service, m.To, m.Message)
	if err != nil || ack.Copy == nil {
		return witnessReply{Ack: ack}, err
	}
	n.copies.put(m.Service, m.Message, ack)
	return n.copies.page(m.Service, m.Message, 0)
}

func (n *Node) handleCopy(_ context.Context, _ string, body []byte) (any, error) {
	var m witnessMessage[once.Seal]
	if err := control.Unmarshal(body, &m); err != nil {
		return nil, err
	}
	return n.copies.page(m.Service, m.Message, m.Page)
}

func (n *Node) handleInstall(ctx context.Context, _ string, body []byte) (any, error) {
	var m witnessMessage[once.Install]
	if err := control.Unmarshal(body, &m); err != nil {
		return nil, err
	}
	whole, err := n.copies.add(m)
	if err != nil || whole == nil {
		return witnessReply{Ack: once.Ack{Status: once.StatusAccepted, Member: n.self}}, err
	}
	ack, err := n.askWitness(ctx, m.Service, m.To, *whole)
	return witnessReply{Ack: ack}, err
}

// askWitness has this node's own witness of a service handle a message.
func (n *Node) askWitness(ctx context.Context, service string, to once.Member, m once.Message) (once.Ack, error) {
	reply := make(chan once.Ack, 1)
	if !n.control.send(witnessCommand{service: service, to: to, message: m, reply: reply}) {
		return once.Ack{}, control.ErrClosed
	}
	select {
	case ack := <-reply:
		return ack, nil
	case <-n.control.done:
		return once.Ack{}, control.ErrClosed
	case <-ctx.Done():
		return once.Ack{}, ctx.Err()
	}
}
