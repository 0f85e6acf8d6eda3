package content

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func routes(n int) []byte {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf(`{"match":{"prefix":"/%x/"},"action":{"service":"s","timeout-s":2}}`, i*7919))
	}
	return []byte(`{"policy":[` + strings.Join(list, ",") + `]}`)
}

func TestValueIsTheDifferenceFromTheBase(t *testing.T) {
	old, value := routes(5000), routes(5001)
	whole, err := EncodeValue(nil, value)
	qt.Assert(t, err, qt.IsNil)
	difference, err := EncodeValue(old, value)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, len(difference.Data) < 300, qt.IsTrue, qt.Commentf("%d bytes", len(difference.Data)))
	got, err := DecodeValue(old, difference.Data)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, bytes.Equal(got, value), qt.IsTrue)
	got, err = DecodeValue(old, whole.Data)
	qt.Assert(t, err, qt.IsNil, qt.Commentf("a whole value needs no base"))
	qt.Check(t, bytes.Equal(got, value), qt.IsTrue)
	_, err = DecodeValue(routes(4999), difference.Data)
	qt.Check(t, err, qt.IsNotNil)
}

// TestAssemblyResumes guards against content that begins anew with each loss of the node
// that sends it.
func TestAssemblyResumes(t *testing.T) {
	c := qt.New(t)
	data := make([]byte, 3*PartBytes+1)
	for i := range data {
		data[i] = byte(rand.Uint32())
	}
	first, same, other := NewBlob(data), NewBlob(bytes.Clone(data)), NewBlob(data[1:])
	var a Assembly
	add := func(b Blob) []byte {
		_, offset := a.Next()
		got, err := a.Add(b.Part(offset))
		c.Assert(err, qt.IsNil)
		return got
	}
	c.Check(add(first), qt.IsNil)
	c.Check(add(same), qt.IsNil)
	c.Check(add(first), qt.IsNil)
	c.Check(bytes.Equal(add(same), data), qt.IsTrue)

	c.Check(add(first), qt.IsNil)
	_, err := a.Add(other.Part(PartBytes))
	c.Check(err, qt.IsNotNil, qt.Commentf("a part of other content"))
	c.Check(add(other), qt.IsNil)
	_, err = a.Add(first.Part(0))
	c.Check(err, qt.IsNil, qt.Commentf("the content was replaced"))
	_, err = a.Add(Part{ID: first.ID, Offset: PartBytes, Size: len(data), Bytes: data})
	c.Check(err, qt.IsNotNil, qt.Commentf("more than the rest"))
	wrong := first.Part(0)
	wrong.Bytes, wrong.Size = wrong.Bytes[:5], 5
	_, err = a.Add(wrong)
	c.Check(err, qt.IsNotNil, qt.Commentf("the hash is another one"))
}

func TestShelfKeepsWhatIsUsed(t *testing.T) {
	c := qt.New(t)
	var s Shelf
	made := 0
	get := func(name int) Blob {
		b, err := s.Get(name, func() (Blob, error) {
			made++
			return NewBlob(bytes.Repeat([]byte{byte(name)}, maxShelfBytes/4)), nil
		})
		c.Assert(err, qt.IsNil)
		return b
	}
	first := get(1)
	for name := range 20 {
		get(name + 2)
		get(1)
	}
	c.Check(made, qt.Equals, 21)
	_, found := s.Find(first.ID)
	c.Check(found, qt.IsTrue)
	c.Check(len(s.entries) <= 4, qt.IsTrue, qt.Commentf("%d entries", len(s.entries)))
}

func TestPacerKeepsToTheLink(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	now := start
	p := NewPacer(10)
	// Receivers ask again when it is their turn, as long as there are any.
	const receivers, partsEach = 40, 2
	type receiver struct {
		name    string
		askAt   time.Time
		missing int
	}
	var waiting []*receiver
	for i := range receivers {
		waiting = append(waiting, &receiver{fmt.Sprint("n", i), now, partsEach})
	}
	for len(waiting) > 0 {
		slices.SortStableFunc(waiting, func(a, b *receiver) int { return a.askAt.Compare(b.askAt) })
		r := waiting[0]
		now = r.askAt
		later, ok := p.Admit(now, r.name, PartBytes)
		if r.askAt = now.Add(time.Millisecond); !ok {
			c.Assert(later > 0, qt.IsTrue)
			r.askAt = now.Add(later)
			continue
		}
		if r.missing--; r.missing == 0 {
			waiting = waiting[1:]
		}
	}
	link := time.Duration(receivers*partsEach*PartBytes) * time.Second / (10e6 / 8)
	took := now.Sub(start)
	c.Check(took > link && took < link*2, qt.IsTrue, qt.Commentf("%s, %s of the whole link", took, link))
	for range 1000 {
		_, ok := NewPacer(0).Admit(now, "n", PartBytes)
		c.Assert(ok, qt.IsTrue)
	}
}

// TestPacerKeepsTheOrder guards against nodes that get a configuration too late, because
// others that ask later are served before them again and again.
func TestPacerKeepsTheOrder(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	p := NewPacer(10)
	var turns []time.Duration
	for i := range 40 {
		later, ok := p.Admit(now, fmt.Sprint("n", i), PartBytes)
		c.Assert(ok, qt.Equals, i < 2)
		turns = append(turns, later)
	}
	c.Check(slices.IsSorted(turns), qt.IsTrue)
	again, ok := p.Admit(now.Add(turns[20]/2), "n20", PartBytes)
	c.Check(!ok && again == turns[20]-turns[20]/2, qt.IsTrue, qt.Commentf("who asks early keeps its turn"))
	_, ok = p.Admit(now.Add(turns[20]), "n20", PartBytes)
	c.Check(ok, qt.IsTrue)
}
