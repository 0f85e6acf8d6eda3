package balance

import (
	"time"

	"filbertmill.example/poison"
)

// KnownQuarantine is what a node knows of the requests that crash targets. It is sent with
// each attempt, so that a home knows them before it grants a target: one that has just
// become the home has seen no crash.
type KnownQuarantine struct {
	// Digest identifies the entries; 0 if none are known.
	Digest uint64 `cbor:"1,keyasint,omitempty"`
	// List is sent to a home that has asked for it.
	List []poison.Handover `cbor:"2,keyasint,omitempty"`
}

// mergeQuarantine records what a node knows. It reports false if the node has to send its
// list first.
func (l *Loop) mergeQuarantine(now time.Time, known KnownQuarantine, source string) bool {
	if known.Digest == 0 || known.Digest == poison.Digest(l.poison.Handovers(now)) {
		return true
	}
	if len(known.List) == 0 {
		return false
	}
	l.takeOver(now, known.List, source)
	return true
}

func (l *Loop) takeOver(now time.Time, list []poison.Handover, source string) {
	for _, f := range l.poison.TakeOver(now, list) {
		l.cfg.Log.Info("quarantine of a request taken over", "fingerprint", f, "source", source)
	}
}

// listQuarantine returns the quarantine for a node that knows another one, and nil if it
// knows the same.
func (l *Loop) listQuarantine(now time.Time, digest uint64) []poison.Handover {
	list := l.poison.Handovers(now)
	if poison.Digest(list) == digest {
		return nil
	}
	return list
}

// ExchangeQuarantine records what a node knows of the requests that crash targets, and
// returns what this Loop knows: also the crashes that have not led to a quarantine yet.
func (l *Loop) ExchangeQuarantine(list []poison.Handover, source string) []poison.Handover {
	return query(l, func(now time.Time) []poison.Handover {
		l.takeOver(now, list, source)
		for _, f := range l.poison.TakeOverSuspects(now, list) {
			l.cfg.Log.Warn("request quarantined: it crashed targets", "fingerprint", f, "source", source)
		}
		return l.quarantineAndSuspects(now)
	})
}

func (l *Loop) quarantineAndSuspects(now time.Time) []poison.Handover {
	return append(l.poison.Handovers(now), l.poison.Suspects(now)...)
}
