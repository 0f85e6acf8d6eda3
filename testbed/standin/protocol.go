package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cockroachdb/errors"

	"filbertmill.example/platform"
	"filbertmill.example/testbed/memory"
)

// itemWire is an item as encoded on the wire.
type itemWire struct {
	Key            string            `json:"key"`
	Value          []byte            `json:"value,omitempty"`
	Rev            platform.Revision `json:"rev"`
	CreateRevision platform.Revision `json:"create-revision,omitempty"`
	Deleted        bool              `json:"deleted,omitempty"`
}

// registerProtocol registers the handlers of the platform's published protocol.
func (s *Standin) registerProtocol() {
	s.server.GET("/kv-key", s.key)
	s.server.GET("/kv-range", s.rangeItems)
	s.server.GET("/kv-watch", s.watch)
	s.server.POST("/kv-txn", s.txn)
	s.server.POST("/kv-lease", s.lease)
	s.server.POST("/kv-keep/:id", s.keep)
	s.server.DELETE("/kv-lease-end/:id", s.leaseEnd)
}

func (s *Standin) key(ctx context.Context, c *app.RequestContext) {
	e, err := s.Store.Get(ctx, c.Query("key"))
	if errors.Is(err, platform.ErrNotFound) {
		c.Status(http.StatusNotFound)
		return
	}
	if fails(c, err) {
		return
	}
	c.JSON(http.StatusOK, struct {
		itemWire
		Current platform.Revision `json:"current-rev"`
	}{itemWire{Key: e.Key, Value: e.Value, Rev: e.Revision}, s.Store.Revision()})
}

// serializableAge is the age of the content that a serializable read returns, which
// need not be linearizable.
const serializableAge = 4 * time.Second

func (s *Standin) rangeItems(ctx context.Context, c *app.RequestContext) {
	prefix := c.Query("prefix")
	if strings.HasPrefix(prefix, platform.HostPrefix) {
		s.hostItems(ctx, c)
		return
	}
	age := time.Duration(0)
	if c.Query("serializable") == "1" {
		age = serializableAge
	}
	p, err := s.Store.RangeBefore(ctx, prefix, c.Query("after"), age)
	if fails(c, err) {
		return
	}
	c.JSON(http.StatusOK, map[string]any{"items": wireItems(p.Items), "has-more": p.More, "current-rev": p.Revision})
}

// hostItems serves the host list, which has faults of its own.
func (s *Standin) hostItems(ctx context.Context, c *app.RequestContext) {
	hosts, err := s.Hosts.Hosts(ctx)
	if fails(c, err) {
		return
	}
	items := []itemWire{}
	for _, h := range hosts {
		value, err := json.Marshal(h)
		if fails(c, err) {
			return
		}
		items = append(items, itemWire{Key: platform.HostPrefix + h.Name, Value: value, Rev: 1})
	}
	c.JSON(http.StatusOK, map[string]any{"items": items, "has-more": false, "current-rev": s.Store.Revision()})
}

func (s *Standin) watch(ctx context.Context, c *app.RequestContext) {
	after, err1 := strconv.ParseInt(c.Query("after"), 10, 64)
	wait, err2 := strconv.ParseInt(c.Query("wait-ms"), 10, 64)
	if err1 != nil || err2 != nil {
		c.String(http.StatusBadRequest, "after and wait-ms must be integers")
		return
	}
	events, rev, err := s.Store.WatchPrefix(ctx, c.Query("prefix"), platform.Revision(after), time.Duration(wait)*time.Millisecond)
	if errors.Is(err, platform.ErrCompacted) {
		c.Status(http.StatusGone)
		return
	}
	if fails(c, err) {
		return
	}
	c.JSON(http.StatusOK, map[string]any{"events": wireItems(events), "current-rev": rev})
}

// txnWire is a transaction as encoded on the wire.
type txnWire struct {
	Expect []struct {
		Key string            `json:"key"`
		Rev platform.Revision `json:"rev"`
	} `json:"expect"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Delete []string `json:"delete"`
}

func (s *Standin) txn(ctx context.Context, c *app.RequestContext) {
	var t txnWire
	if err := json.Unmarshal(c.Request.Body(), &t); err != nil {
		c.String(http.StatusBadRequest, err.Error())
		return
	}
	var expect []memory.Row
	for _, e := range t.Expect {
		expect = append(expect, memory.Row{Key: e.Key, Revision: e.Rev})
	}
	var puts []platform.Put
	for _, p := range t.Puts {
		put := platform.Put{Key: p.Key, Value: p.Value}
		if p.Lease != 0 {
			put.Lease = platform.LeaseID(strconv.FormatInt(p.Lease, 10))
		}
		puts = append(puts, put)
	}
	rev, current, ok, err := s.Store.Txn(ctx, expect, puts, t.Delete)
	if errors.Is(err, platform.ErrLeaseExpired) {
		c.Status(http.StatusNotFound)
		return
	}
	if fails(c, err) {
		return
	}
	if !ok {
		items := []itemWire{}
		for _, e := range current {
			items = append(items, itemWire{Key: e.Key, Value: e.Value, Rev: e.Revision})
		}
		c.JSON(http.StatusPreconditionFailed, map[string]any{"items": items})
		return
	}
	c.JSON(http.StatusOK, map[string]any{"rev": rev})
}

// leaseWire is a lease as encoded on the wire.
type leaseWire struct {
	Lease int64   `json:"lease,omitempty"`
	TTL   float64 `json:"ttl-s_time"`
}

func (s *Standin) lease(ctx context.Context, c *app.RequestContext) {
	var l leaseWire
	if err := json.Unmarshal(c.Request.Body(), &l); err != nil {
		c.String(http.StatusBadRequest, err.Error())
		return
	}
	id, err := s.Store.Grant(ctx, time.Duration(l.TTL*float64(time.Second)))
	if fails(c, err) {
		return
	}
	if l.Lease, err = strconv.ParseInt(string(id), 10, 64); fails(c, err) {
		return
	}
	c.JSON(http.StatusOK, l)
}

func (s *Standin) keep(ctx context.Context, c *app.RequestContext) {
	err := s.Store.KeepAlive(ctx, platform.LeaseID(c.Param("id")))
	if errors.Is(err, platform.ErrLeaseExpired) {
		c.Status(http.StatusNotFound)
		return
	}
	if !fails(c, err) {
		c.JSON(http.StatusOK, leaseWire{})
	}
}

func (s *Standin) leaseEnd(ctx context.Context, c *app.RequestContext) {
	if !fails(c, s.Store.Revoke(ctx, platform.LeaseID(c.Param("id")))) {
		c.JSON(http.StatusOK, struct{}{})
	}
}

// fails reports whether err is set, and answers it. Status 503 proves that the call
// had no effect. A connection that is closed without an answer leaves that unknown.
func fails(c *app.RequestContext, err error) bool {
	switch {
	case err == nil:
		return false
	case errors.Is(err, platform.ErrNotApplied):
		c.Status(http.StatusServiceUnavailable)
	default:
		c.Abort()
		_ = c.GetConn().Close()
	}
	return true
}

// wireItems converts items to their encoding on the wire.
func wireItems(items []platform.Item) []itemWire {
	list := make([]itemWire, len(items))
	for i, item := range items {
		list[i] = itemWire{Key: item.Key, Value: item.Value, Rev: item.Revision, Deleted: item.Deleted}
	}
	return list
}
