package node

import (
	"sync"
	"time"

	"filbertmill.example/config/dynamic"
)

// configInForce holds the configuration in force. When one of its exceptions
// ends, it is applied anew.
type configInForce struct {
	// effective brings a configuration with its exceptions applied into force.
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

// apply applies the configuration as it is now; the lock is held.
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

// endException applies a configuration anew unless another has replaced it.
func (f *configInForce) endException(cfg *dynamic.Config) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.config == cfg {
		f.apply(cfg)
	}
}

// applyConfig brings a whole configuration into force, with the exceptions
// that hold now.
func (n *Node) applyConfig(cfg *dynamic.Config) { n.inForce.set(cfg) }
