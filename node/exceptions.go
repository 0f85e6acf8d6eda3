package node

import (
	"sync"
	"time"

	"filbertmill.example/config/dynamic"
)

// configInForce holds the configuration in force, which is the one that the node
// works by. An exception is a value that replaces a setting until it expires;
// then the configuration is applied again.
type configInForce struct {
	// effective brings a configuration into force in which the exceptions are
	// already applied.
	effective func(*dynamic.Config)

	mu     sync.Mutex
	config *dynamic.Config
	expiry *time.Timer
}

// set replaces the configuration in force.
func (f *configInForce) set(cfg *dynamic.Config) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.apply(cfg)
}

// apply brings the configuration into force with the exceptions that have not
// expired. The caller holds mu.
func (f *configInForce) apply(cfg *dynamic.Config) {
	if f.expiry != nil {
		f.expiry.Stop()
	}
	now := time.Now()
	f.config = cfg
	f.effective(cfg.Effective(now))
	if next := cfg.NextExpiry(now); !next.IsZero() {
		f.expiry = time.AfterFunc(next.Sub(now), func() { f.endException(cfg) })
	}
}

// endException applies a configuration again, unless another one has replaced it.
func (f *configInForce) endException(cfg *dynamic.Config) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.config == cfg {
		f.apply(cfg)
	}
}

// applyConfig brings a configuration into force, with the exceptions that have
// not expired.
func (n *Node) applyConfig(cfg *dynamic.Config) { n.inForce.set(cfg) }
