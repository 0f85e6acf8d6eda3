package gateway

import (
	"expvar"
	"strings"

	"github.com/cockroachdb/errors"

	"filbertmill.example/platform"
)

// stats are the node's counters, published once a process.
type stats struct {
	// requests counts answers by outcome reason, attempts by verdict, and
	// storeCalls by path and result.
	requests   *expvar.Map
	attempts   *expvar.Map
	storeCalls *expvar.Map
}

var published = stats{
	requests:   expvar.NewMap("requests"),
	attempts:   expvar.NewMap("attempts"),
	storeCalls: expvar.NewMap("store_calls"),
}

func newStats() *stats { return &published }

func (s *stats) countStoreCall(uri string, err error) {
	path, _, _ := strings.Cut(uri, "?")
	result := "done"
	switch {
	case errors.Is(err, platform.ErrNotDone):
		result = "not_done"
	case err != nil:
		result = "failed"
	}
	s.storeCalls.Add(path+" "+result, 1)
}
