package follow

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"filbertmill.example/fleet/control"
	"filbertmill.example/gateway/content"
	"filbertmill.example/gateway/replica"
	"filbertmill.example/platform"
)

const (
	// kindValue is the call for a part of a large value: a valueRequest, answered by a
	// valueReply.
	kindValue control.Kind = "value"
	// kindList is the call for a part of a list of changes: a content.Part without bytes,
	// answered by a partReply.
	kindList control.Kind = "list"
)

const (
	// partSilence is how long nothing may arrive from a relay that is asked for a part. It
	// may have to encode the value first.
	partSilence = 2 * pollGrace
	// fetchInterval is the wait before the relays are asked for a value again that none of
	// them could send.
	fetchInterval = 100 * time.Millisecond
	// maxTurnWait is how long a node waits for its turn at a relay before it asks another
	// one. Its turn stays.
	maxTurnWait = 500 * time.Millisecond
)

// valueRequest asks for a part of the newest value of a key.
type valueRequest struct {
	Key string `cbor:"1,keyasint"`
	// Base is the revision of the value that the node has, or 0.
	Base platform.Revision `cbor:"2,keyasint,omitempty"`
	// ID is the content of which the node has the bytes before Offset.
	ID     content.ID `cbor:"3,keyasint,omitempty"`
	Offset int        `cbor:"4,keyasint,omitempty"`
}

// partReply is the answer to a request for a part.
type partReply struct {
	Part content.Part `cbor:"1,keyasint,omitzero"`
	// Later is set if the part is left out for the time being: after which time the node
	// is to ask again.
	Later time.Duration `cbor:"2,keyasint,omitempty"`
}

// valueReply answers a valueRequest.
type valueReply struct {
	partReply
	// Revision is that of the relay's entry, and Base that of the value from which the
	// content is the difference; 0 if it is whole.
	Revision platform.Revision `cbor:"3,keyasint"`
	Base     platform.Revision `cbor:"4,keyasint,omitempty"`
}

var (
	errBehind  = errors.New("the relay does not have the announced value")
	errRemoved = errors.New("the relay knows that the key was removed")
	errBusy    = errors.New("the relay's link has no room for long")
	errUnknown = errors.New("the content is not known")
)

// listName identifies the changes between two revisions, or the content of the copy at the
// second one.
type listName struct {
	after, through platform.Revision
	snapshot       bool
}

// inParts returns the reply to a poll after a revision that announces large values and
// sends a long list in parts. The list is encoded once for all nodes that ask for it.
func (f *Follower) inParts(after platform.Revision, reply changesReply) (changesReply, error) {
	d := replica.Delta{Items: reply.Changes}
	d.SplitLarge()
	reply.Changes, reply.Announced = d.Items, d.Announced
	bytes := 0
	for _, item := range reply.Changes {
		bytes += len(item.Key) + len(item.Value)
	}
	if bytes <= content.PartBytes {
		return reply, nil
	}
	list, err := f.shelf.Get(listName{after, reply.Through, reply.Snapshot}, func() (content.Blob, error) {
		slices.SortFunc(reply.Changes, func(a, b platform.Item) int { return cmp.Compare(a.Key, b.Key) })
		return content.EncodeList(reply.Changes)
	})
	if err != nil {
		return changesReply{}, err
	}
	reply.Changes, reply.List = nil, list.Part(0)
	return reply, nil
}

// serveList sends a part of a list.
func (f *Follower) serveList(_ context.Context, from string, body []byte) (any, error) {
	var req content.Part
	if err := control.Unmarshal(body, &req); err != nil {
		return nil, err
	}
	blob, ok := f.shelf.Find(req.ID)
	if !ok {
		return nil, errUnknown
	}
	return f.admitPart(from, blob.Part(req.Offset)), nil
}

// admitPart returns the reply with a part to a node, or without if the link has no room
// for it.
func (f *Follower) admitPart(to string, p content.Part) partReply {
	if later, ok := f.pacer.Admit(time.Now(), to, len(p.Bytes)); !ok {
		return partReply{Later: later}
	}
	return partReply{Part: p}
}

// valueName identifies the encoded difference of two revisions of a key.
type valueName struct {
	key            string
	base, revision platform.Revision
}

// serveValue sends a part of the newest value of a key.
func (f *Follower) serveValue(_ context.Context, from string, body []byte) (any, error) {
	var req valueRequest
	if err := control.Unmarshal(body, &req); err != nil {
		return nil, err
	}
	item, ok := f.cfg.Replica.Item(req.Key)
	if !ok || item.Deleted || item.Revision <= req.Base {
		return valueReply{Revision: item.Revision}, nil
	}
	base, ok := f.cfg.Replica.ItemAt(req.Key, req.Base)
	if !ok {
		base = platform.Item{}
	}
	blob, err := f.shelf.Get(valueName{req.Key, base.Revision, item.Revision}, func() (content.Blob, error) {
		return content.EncodeValue(base.Value, item.Value)
	})
	if err != nil {
		return nil, err
	}
	if req.ID != blob.ID {
		req.Offset = 0
	}
	return valueReply{partReply: f.admitPart(from, blob.Part(req.Offset)), Revision: item.Revision, Base: base.Revision}, nil
}

// fetchList collects a list of changes whose first part a relay has sent.
func (f *Follower) fetchList(ctx context.Context, relay replica.Node, first content.Part) ([]platform.Item, error) {
	var parts content.Assembly
	whole, err := parts.Add(first)
	for whole == nil && err == nil {
		var reply partReply
		id, offset := parts.Next()
		err = f.cfg.Transport.CallPatiently(ctx, peerOf(relay), kindList, content.Part{ID: id, Offset: offset}, &reply, partSilence)
		switch {
		case err != nil:
		case reply.Later > 0:
			sleep(ctx, reply.Later)
		default:
			whole, err = parts.Add(reply.Part)
		}
	}
	if err != nil {
		return nil, err
	}
	return content.DecodeList[platform.Item](whole)
}

// fetchValues fetches the announced values until the context ends.
func (f *Follower) fetchValues(ctx context.Context) {
	for ctx.Err() == nil {
		changed := f.cfg.Replica.Changed()
		announced := f.cfg.Replica.View().Announced
		if len(announced) == 0 {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		for _, a := range announced {
			f.fetchValue(ctx, a)
		}
	}
}

// fetchValue fetches an announced value from the relays in turn, until one of them has
// sent it or it has come another way. What one relay has sent of the same content is not
// fetched again from the next one.
func (f *Follower) fetchValue(ctx context.Context, a replica.Announcement) {
	fetch := valueFetch{follower: f, key: a.Key, start: time.Now()}
	for ctx.Err() == nil {
		for _, relay := range f.valueSources() {
			err := fetch.from(ctx, relay)
			if !f.isAnnounced(a.Key) {
				return
			}
			if err != nil {
				f.cfg.Log.Info("value not fetched", "key", a.Key, "revision", a.Revision, "relay", relay.Name, "error", err)
			}
		}
		// Not all nodes ask at the same time.
		sleep(ctx, fetchInterval+rand.N(fetchInterval/2))
	}
}

// isAnnounced reports whether a value of the key is still to be fetched.
func (f *Follower) isAnnounced(key string) bool {
	return slices.ContainsFunc(f.cfg.Replica.View().Announced, func(a replica.Announcement) bool { return a.Key == key })
}

// valueSources returns the relays that this node polls, that of its own zone first.
func (f *Follower) valueSources() []replica.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []replica.Node
	now := time.Now()
	for _, fd := range f.feeds {
		if fd.answers(now) {
			list = append(list, fd.node)
		}
	}
	slices.SortFunc(list, func(a, b replica.Node) int {
		return cmp.Or(f.zoneDistance(a)-f.zoneDistance(b), cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(a.Name, b.Name))
	})
	return list
}

// recordValueProgress records that a fetch begins or has got further.
func (f *Follower) recordValueProgress() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.valueProgressAt = time.Now()
}

// valuesStuck reports whether announced values are missing and the fetch does not get
// further. It must be called with mu held.
func (f *Follower) valuesStuck(now time.Time) bool {
	return len(f.cfg.Replica.View().Announced) > 0 && now.Sub(f.valueProgressAt) > maxCopyAge
}

// valueFetch is the fetch of one value.
type valueFetch struct {
	follower *Follower
	key      string
	parts    content.Assembly
	start    time.Time
	// whole is set once a difference could not be applied.
	whole bool
}

// from fetches the value from one relay until it has arrived or the relay fails.
func (v *valueFetch) from(ctx context.Context, relay replica.Node) error {
	f := v.follower
	for ctx.Err() == nil && f.isAnnounced(v.key) {
		req := valueRequest{Key: v.key}
		req.ID, req.Offset = v.parts.Next()
		have, _ := f.cfg.Replica.Item(v.key)
		if !v.whole {
			req.Base = have.Revision
		}
		var reply valueReply
		if err := f.cfg.Transport.CallPatiently(ctx, peerOf(relay), kindValue, req, &reply, partSilence); err != nil {
			return err
		}
		switch {
		case reply.Revision <= have.Revision:
			return errBehind
		case reply.Later > maxTurnWait:
			return errBusy
		case reply.Later > 0:
			f.recordValueProgress()
			sleep(ctx, reply.Later)
			continue
		case len(reply.Part.Bytes) == 0:
			return errRemoved
		}
		encoded, err := v.parts.Add(reply.Part)
		if err != nil {
			return err
		}
		f.recordValueProgress()
		if encoded == nil {
			continue
		}
		if err := v.merge(relay, have, reply, encoded); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// merge decodes the content that has arrived and merges the value.
func (v *valueFetch) merge(relay replica.Node, have platform.Item, reply valueReply, encoded []byte) error {
	f := v.follower
	var base []byte
	if reply.Base != 0 {
		base = have.Value
	}
	value, err := content.DecodeValue(base, encoded)
	if err != nil {
		v.whole = true
		return err
	}
	item := platform.Item{Key: v.key, Value: value, Revision: reply.Revision}
	f.cfg.Replica.Merge(sourceRelay+relay.Name, replica.Delta{Items: []platform.Item{item}})
	f.cfg.Log.Info("value fetched", "key", v.key, "revision", item.Revision, "base", reply.Base, "relay", relay.Name,
		"bytes", len(value), "encoded", len(encoded), "took_ms", time.Since(v.start).Milliseconds())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmations.adjust()
	if len(f.cfg.Replica.View().Announced) == 0 {
		f.confirmations.complete()
	}
	return nil
}
