package memory

import (
	"context"
	"slices"
	"sync"
	"time"

	"filbertmill.example/platform"
)

// HostList is a platform.HostList in memory.
type HostList struct {
	mu     sync.Mutex
	lists  []hostVersion
	faults Faults
	calls  Calls
}

type hostVersion struct {
	at    time.Time
	hosts []platform.Host
}

var _ platform.HostList = (*HostList)(nil)

// NewHostList returns a list of the given hosts.
func NewHostList(hosts ...platform.Host) *HostList {
	l := &HostList{}
	l.SetHosts(hosts)
	return l
}

// SetHosts replaces the list. Readers see it when the lag has passed.
func (l *HostList) SetHosts(hosts []platform.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for len(l.lists) > 1 && now.Sub(l.lists[1].at) > history {
		l.lists = l.lists[1:]
	}
	l.lists = append(l.lists, hostVersion{at: now, hosts: slices.Clone(hosts)})
}

// SetFaults replaces the faults; LoseReplies has no effect.
func (l *HostList) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Calls returns the calls counted so far.
func (l *HostList) Calls() Calls {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// Hosts implements platform.HostList.
func (l *HostList) Hosts(ctx context.Context) ([]platform.Host, error) {
	l.mu.Lock()
	l.calls.Hosts++
	f := l.faults
	l.mu.Unlock()
	if f.Delay > 0 {
		if err := wait(ctx, nil, f.Delay); err != nil {
			return nil, err
		}
	}
	if f.Unavailable {
		return nil, platform.ErrUnavailable
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := time.Now().Add(-f.Lag)
	for _, v := range slices.Backward(l.lists) {
		if !v.at.After(seen) {
			return slices.Clone(v.hosts), nil
		}
	}
	return slices.Clone(l.lists[0].hosts), nil
}
