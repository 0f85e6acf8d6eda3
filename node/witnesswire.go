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

// pageBytes is the approximate size of the pages into which a copy of claims is
// split.
const pageBytes = 512 << 10

// recordOverhead is the size of a record on the wire, in bytes, without its key
// and answer.
const recordOverhead = 128

var errNoSuchPage = errors.New("no such page of a copy")

// witnessMessage is a message to a witness as encoded on the wire.
type witnessMessage[M once.Message] struct {
	Service string      `cbor:"1,keyasint"`
	To      once.Member `cbor:"2,keyasint"`
	Message M           `cbor:"3,keyasint"`
	// Page is the number, from 0, of a page of an Install or of the answer to a
	// Seal.
	Page int `cbor:"4,keyasint,omitempty"`
	// More is set if another page follows.
	More bool `cbor:"5,keyasint,omitempty"`
}

// witnessReply is a witness's answer as encoded on the wire.
type witnessReply struct {
	Ack once.Ack `cbor:"1,keyasint"`
	// More is set if another page of the copy follows.
	More bool `cbor:"2,keyasint,omitempty"`
}

// pages splits records into pages that fit into a message each. It returns at
// least one.
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

// copyTransfers holds the copies that are being received or sent page by page,
// for each service at most one in each direction.
type copyTransfers struct {
	mu       sync.Mutex
	incoming map[string]*incomingCopy
	outgoing map[string]*outgoingCopy
}

// incomingCopy is an Install of which some pages were received.
type incomingCopy struct {
	install  once.Install
	nextPage int
}

// outgoingCopy is the answer to a Seal.
type outgoingCopy struct {
	seal  once.Seal
	ack   once.Ack
	pages [][]once.Record
}

func newCopyTransfers() *copyTransfers {
	return &copyTransfers{incoming: make(map[string]*incomingCopy), outgoing: make(map[string]*outgoingCopy)}
}

// addPage adds one page of an Install. With the last page it returns the
// complete Install, before that nil.
func (b *copyTransfers) addPage(m witnessMessage[once.Install]) (complete *once.Install, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.incoming[m.Service]
	if m.Page == 0 {
		c = &incomingCopy{install: m.Message}
		b.incoming[m.Service] = c
	} else {
		if c == nil || c.nextPage != m.Page || c.install.Epoch != m.Message.Epoch || c.install.Holder != m.Message.Holder {
			return nil, errNoSuchPage
		}
		c.install.Copy.Records = append(c.install.Copy.Records, m.Message.Copy.Records...)
	}
	c.nextPage = m.Page + 1
	if m.More {
		return nil, nil
	}
	delete(b.incoming, m.Service)
	return &c.install, nil
}

// put stores the answer to a Seal, so that page can return its pages.
func (b *copyTransfers) put(service string, seal once.Seal, ack once.Ack) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outgoing[service] = &outgoingCopy{seal: seal, ack: ack, pages: pages(ack.Copy.Records)}
}

// page returns one page of the answer to a Seal. With the last page the stored
// answer is deleted.
func (b *copyTransfers) page(service string, seal once.Seal, page int) (witnessReply, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.outgoing[service]
	if c == nil || c.seal != seal || page < 0 || page >= len(c.pages) {
		return witnessReply{}, errNoSuchPage
	}
	reply := witnessReply{Ack: c.ack, More: page+1 < len(c.pages)}
	reply.Ack.Copy = &once.Copy{Records: c.pages[page], LostLeft: c.ack.Copy.LostLeft}
	if !reply.More {
		delete(b.outgoing, service)
	}
	return reply, nil
}

// connectWitness registers the handlers of the messages from homes whose witness
// this node is.
func (n *Node) connectWitness(t *control.Transport) {
	t.Handle(kindEnlist, handleWitness[once.Enlist](n))
	t.Handle(kindIntent, handleWitness[once.Intent](n))
	t.Handle(kindDone, handleWitness[once.Done](n))
	t.Handle(kindRelease, handleWitness[once.Release](n))
	t.Handle(kindSeal, n.handleSeal)
	t.Handle(kindCopy, n.handleCopy)
	t.Handle(kindInstall, n.handleInstall)
}

// handleWitness returns the handler of a message that is not split into pages.
func handleWitness[M once.Message](n *Node) control.Handler {
	return func(ctx context.Context, _ string, body []byte) (any, error) {
		var m witnessMessage[M]
		if err := control.Unmarshal(body, &m); err != nil {
			return nil, err
		}
		ack, err := n.deliverToWitness(ctx, m.Service, m.To, m.Message)
		return witnessReply{Ack: ack}, err
	}
}

// handleSeal handles a Seal. The reply contains the first page of the copy.
func (n *Node) handleSeal(ctx context.Context, _ string, body []byte) (any, error) {
	var m witnessMessage[once.Seal]
	if err := control.Unmarshal(body, &m); err != nil {
		return nil, err
	}
	ack, err := n.deliverToWitness(ctx, m.Service, m.To, m.Message)
	if err != nil || ack.Copy == nil {
		return witnessReply{Ack: ack}, err
	}
	n.copies.put(m.Service, m.Message, ack)
	return n.copies.page(m.Service, m.Message, 0)
}

// handleCopy returns a further page of the copy that was sealed.
func (n *Node) handleCopy(_ context.Context, _ string, body []byte) (any, error) {
	var m witnessMessage[once.Seal]
	if err := control.Unmarshal(body, &m); err != nil {
		return nil, err
	}
	return n.copies.page(m.Service, m.Message, m.Page)
}

// handleInstall handles one page of an Install. The witness receives the Install
// with the last page.
func (n *Node) handleInstall(ctx context.Context, _ string, body []byte) (any, error) {
	var m witnessMessage[once.Install]
	if err := control.Unmarshal(body, &m); err != nil {
		return nil, err
	}
	install, err := n.copies.addPage(m)
	if err != nil || install == nil {
		return witnessReply{Ack: once.Ack{Status: once.StatusAccepted, Member: n.self}}, err
	}
	ack, err := n.deliverToWitness(ctx, m.Service, m.To, *install)
	return witnessReply{Ack: ack}, err
}

// deliverToWitness has this node's own Witness of a service handle a message and
// returns the answer.
func (n *Node) deliverToWitness(ctx context.Context, service string, to once.Member, m once.Message) (once.Ack, error) {
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
