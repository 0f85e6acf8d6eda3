package standin

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"filbertmill.example/platform"
	"filbertmill.example/testbed/memory"
)

func startTest(t *testing.T) (*Standin, *platform.Client) {
	t.Helper()
	s, err := Start("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { qt.Check(t, s.Close(), qt.IsNil) })
	c, err := platform.NewClientFor(s.URL())
	qt.Assert(t, err, qt.IsNil)
	return s, c
}

func TestStoreOverHTTP(t *testing.T) {
	s, c := startTest(t)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()

	_, err := c.Get(ctx, "a/b")
	qt.Assert(t, errors.Is(err, platform.ErrNotFound), qt.IsTrue)
	first, err := c.CompareAndSwap(ctx, "a/b", 0, []byte("one"), "")
	qt.Assert(t, err, qt.IsNil)
	_, err = c.CompareAndSwap(ctx, "a/b", 0, []byte("two"), "")
	var conflict *platform.ConflictError
	qt.Assert(t, errors.As(err, &conflict), qt.IsTrue)
	qt.Assert(t, conflict.Current, qt.DeepEquals, platform.Entry{Key: "a/b", Value: []byte("one"), Revision: first})
	_, err = c.CompareAndSwap(ctx, "big", 0, make([]byte, platform.MaxValueBytes+1), "")
	qt.Assert(t, errors.Is(err, platform.ErrTooLarge), qt.IsTrue)
	_, err = c.CompareAndSwap(ctx, "big", 0, make([]byte, platform.MaxValueBytes), "")
	qt.Assert(t, err, qt.IsNil)

	id, err := c.Grant(ctx, time.Minute)
	qt.Assert(t, err, qt.IsNil)
	_, err = c.CompareAndSwap(ctx, "leased", 0, []byte("x"), id)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.KeepAlive(ctx, id), qt.IsNil)
	s.Store.ExpireLeases()
	qt.Assert(t, errors.Is(c.KeepAlive(ctx, id), platform.ErrLeaseLapsed), qt.IsTrue)
	_, err = c.Get(ctx, "leased")
	qt.Assert(t, errors.Is(err, platform.ErrNotFound), qt.IsTrue)
	qt.Assert(t, c.Revoke(ctx, id), qt.IsNil)
}

func TestWatchOverHTTPIsOneCall(t *testing.T) {
	s, c := startTest(t)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	got := make(chan platform.Entry, 1)
	go func() {
		e, _ := c.Watch(ctx, "k", 0)
		got <- e
	}()
	for s.Store.Calls().Watch == 0 {
		qt.Assert(t, ctx.Err(), qt.IsNil)
		time.Sleep(time.Millisecond)
	}
	_, err := s.Store.CompareAndSwap(ctx, "k", 0, []byte("one"), "")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string((<-got).Value), qt.Equals, "one")
	qt.Assert(t, s.Store.Calls().Watch, qt.Equals, int64(1))
}

func TestAwayAndLostReplyOverHTTP(t *testing.T) {
	s, c := startTest(t)
	ctx := t.Context()
	s.Store.SetFaults(memory.Faults{Unavailable: true})
	_, err := c.Get(ctx, "k")
	qt.Assert(t, errors.Is(err, platform.ErrUnavailable), qt.IsTrue)
	s.Store.SetFaults(memory.Faults{LoseReplies: 1})
	_, err = c.CompareAndSwap(ctx, "k", 0, []byte("one"), "")
	qt.Assert(t, errors.Is(err, platform.ErrUnavailable), qt.IsTrue)
	e, err := c.Get(ctx, "k")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(e.Value), qt.Equals, "one")

	qt.Assert(t, s.Close(), qt.IsNil)
	_, err = c.Get(ctx, "k")
	qt.Assert(t, errors.Is(err, platform.ErrUnavailable), qt.IsTrue)
}

func TestFaultsOverHTTP(t *testing.T) {
	s, c := startTest(t)
	put := func(path, body string) {
		t.Helper()
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, s.URL()+path, strings.NewReader(body))
		qt.Assert(t, err, qt.IsNil)
		req.Header.Set("Content-Type", "application/json")
		resp, err := http.DefaultClient.Do(req)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, resp.Body.Close(), qt.IsNil)
		qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK)
	}
	put(PathHosts, `[{"name":"a","availability_zone":"z1","control_address":"127.0.0.1:1"}]`)
	hosts, err := c.Hosts(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, hosts, qt.DeepEquals, []platform.Host{{Name: "a", AvailabilityZone: "z1", ControlAddress: "127.0.0.1:1"}})
	put(PathHostFaults, `{"away":true}`)
	_, err = c.Hosts(t.Context())
	qt.Assert(t, errors.Is(err, platform.ErrUnavailable), qt.IsTrue)
}
