package node

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"filbertmill.example/fleet/control"
	"filbertmill.example/once"
)

// records returns n records, every third with an answer of the given size.
func records(n, answer int) []once.Record {
	list := make([]once.Record, n)
	for i := range list {
		list[i] = once.Record{Key: once.Key(fmt.Sprint("van.example/", i)), Left: time.Hour}
		if i%3 == 0 {
			list[i].Done = true
			list[i].Answer = &once.Answer{Status: 200, Body: make([]byte, answer)}
		}
	}
	return list
}

// TestCopyIsSentInPages sends and receives a copy page by page. Each page must
// fit into a control message.
func TestCopyIsSentInPages(t *testing.T) {
	for _, test := range []struct {
		desc          string
		keys, answer  int
		pagesExpected int
	}{
		{"nothing", 0, 0, 1},
		{"one page", 100, 100, 1},
		{"many keys", 50_000, 0, 14},
		{"long answers", 3000, 4096, 9},
	} {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			want := once.Copy{Records: records(test.keys, test.answer), LostLeft: time.Minute}
			seal := once.Seal{Epoch: 7, Holder: once.Member{Name: "b", Incarnation: 2}}
			sender, receiver := newCopyTransfers(), newCopyTransfers()
			sender.put("bookings", seal, once.Ack{Status: once.StatusAccepted, Copy: &want})
			var install *once.Install
			page := 0
			for more := true; more; page++ {
				reply, err := sender.page("bookings", seal, page)
				c.Assert(err, qt.IsNil)
				body, err := cbor.Marshal(reply)
				c.Assert(err, qt.IsNil)
				c.Assert(len(body) < control.MaxMessageBytes, qt.IsTrue, qt.Commentf("%d bytes", len(body)))
				more = reply.More
				install, err = receiver.addPage(witnessMessage[once.Install]{
					Service: "bookings",
					Message: once.Install{Epoch: seal.Epoch, Holder: seal.Holder, Copy: *reply.Ack.Copy},
					Page:    page,
					More:    more,
				})
				c.Assert(err, qt.IsNil)
				c.Assert(install != nil, qt.Equals, !more)
			}
			c.Assert(page, qt.Equals, test.pagesExpected)
			c.Assert(install.Copy.Records, qt.HasLen, test.keys)
			for i, r := range install.Copy.Records {
				if r.Key != want.Records[i].Key || r.Answer.Size() != want.Records[i].Answer.Size() {
					t.Fatalf("record %d is %+v", i, r)
				}
			}
			_, err := sender.page("bookings", seal, 0)
			c.Assert(err, qt.ErrorIs, errNoSuchPage, qt.Commentf("the copy is kept until its last page only"))
		})
	}
}

// TestPagesOfTwoCopiesAreNotMixed has a second home send its copy before that of
// the first is complete. The pages must not be joined into one copy.
func TestPagesOfTwoCopiesAreNotMixed(t *testing.T) {
	c := qt.New(t)
	transfers := newCopyTransfers()
	page := func(epoch once.Epoch, n int, more bool) (*once.Install, error) {
		return transfers.addPage(witnessMessage[once.Install]{
			Service: "bookings", Message: once.Install{Epoch: epoch, Copy: once.Copy{Records: records(1, 0)}}, Page: n, More: more,
		})
	}
	_, err := page(1, 0, true)
	c.Assert(err, qt.IsNil)
	_, err = page(2, 0, true)
	c.Assert(err, qt.IsNil)
	_, err = page(1, 1, false)
	c.Assert(err, qt.ErrorIs, errNoSuchPage)
	_, err = page(2, 2, false)
	c.Assert(err, qt.ErrorIs, errNoSuchPage, qt.Commentf("a page is missing"))
	install, err := page(2, 1, false)
	c.Assert(err, qt.IsNil)
	c.Assert(install.Copy.Records, qt.HasLen, 2)
}

// FuzzWitnessMessage feeds arbitrary messages of a peer to a witness. The witness
// must neither panic nor refuse a seal with a higher epoch afterwards.
func FuzzWitnessMessage(f *testing.F) {
	self := once.Member{Name: "b", Incarnation: 7}
	holder := once.Member{Name: "a", Incarnation: 1}
	seed := func(kind uint8, m any) {
		body, err := cbor.Marshal(m)
		qt.Assert(f, err, qt.IsNil)
		f.Add(kind, body)
	}
	claim := once.Claim{Epoch: 1, Sequence: 1}
	seed(0, witnessMessage[once.Install]{To: self, Message: once.Install{Epoch: 1, Holder: holder, Copy: once.Copy{Records: records(2, 3)}}})
	seed(1, witnessMessage[once.Seal]{To: self, Message: once.Seal{Epoch: 2, Holder: holder}})
	seed(2, witnessMessage[once.Intent]{To: self, Message: once.Intent{Key: "k", Claim: claim}})
	seed(3, witnessMessage[once.Done]{To: self, Message: once.Done{Key: "k", Claim: claim, Answer: &once.Answer{Status: 200}}})
	seed(4, witnessMessage[once.Release]{To: self, Message: once.Release{Key: "k", Claim: claim}})
	f.Fuzz(func(t *testing.T, kind uint8, body []byte) {
		now := time.Unix(0, 0)
		w := once.NewWitness(once.DefaultConfig(), self)
		w.Receive(now, self, once.Install{Epoch: 1, Holder: holder})
		w.Receive(now, self, once.Intent{Key: "k", Claim: claim})
		a, sent := receiveRaw(w, now, kind, body)
		if !sent {
			return
		}
		again := w.Receive(now, self, once.Seal{Epoch: a.Epoch + 1, Holder: holder})
		if again.Status != once.StatusAccepted && a.Epoch != ^once.Epoch(0) {
			t.Fatalf("a higher epoch is refused after %+v", a)
		}
	})
}

// receiveRaw decodes a message of one of the kinds and has the witness handle it.
func receiveRaw(w *once.Witness, now time.Time, kind uint8, body []byte) (once.Ack, bool) {
	switch kind {
	case 0:
		return receiveAs[once.Install](w, now, body)
	case 1:
		return receiveAs[once.Seal](w, now, body)
	case 2:
		return receiveAs[once.Intent](w, now, body)
	case 3:
		return receiveAs[once.Done](w, now, body)
	}
	return receiveAs[once.Release](w, now, body)
}

func receiveAs[M once.Message](w *once.Witness, now time.Time, body []byte) (once.Ack, bool) {
	var m witnessMessage[M]
	if control.Unmarshal(body, &m) != nil {
		return once.Ack{}, false
	}
	return w.Receive(now, m.To, m.Message), true
}
