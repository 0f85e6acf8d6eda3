package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

// workspace is a workspace of the configuration of runs with --workspaces.
type workspace struct {
	name, key string
	// perSecond and burst are its quota; 0 sets none.
	perSecond, burst float64
}

// workspaces are steady, without a quota, and hot, which sends several times its own.
var (
	steady     = workspace{name: "steady", key: "key-of-steady"}
	hot        = workspace{name: "hot", key: "key-of-hot", perSecond: 6, burst: 6}
	workspaces = []workspace{steady, hot}
)

const (
	// hotShare is the share of the requests that are sent by hot.
	hotShare = 0.4
	// falseClaimShare is the share of requests that claim another workspace than their
	// key's.
	falseClaimShare = 0.2
	// unknownKeyShare is the share of requests with a key that no configuration holds.
	unknownKeyShare = 0.02
	// unknownKey is such a key.
	unknownKey = "key-of-nobody"
)

// The bound on the requests of a workspace, as in the nodes' settings.
const (
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
)

// The promises on workspaces.
const (
	promiseIdentity = "targets are told the workspace of the key and never the key"
	promiseKeys     = "a key that is held is not denied, and no other is served"
	promiseQuota    = "workspaces stay within their quotas"
)

// tenantsText returns the workspaces as the platform writes them.
func tenantsText() string {
	text := ""
	for _, w := range workspaces {
		text += fmt.Sprintf(`{"name":%q,"api-keys":[%q],"priority":1,"rate-per-s":%g,"burst":%g},`, w.name, w.key, w.perSecond, w.burst)
	}
	return `"tenants":[` + text[:len(text)-1] + `],`
}

// drawKey returns the key of a request, and the workspace that it claims, if any.
func drawKey() (key, claim string) {
	key = steady.key
	switch d := rand.Float64(); {
	case d < unknownKeyShare:
		key = unknownKey
	case d < unknownKeyShare+hotShare:
		key = hot.key
	}
	if rand.Float64() < falseClaimShare {
		claim = workspaces[rand.IntN(len(workspaces))].name
	}
	return key, claim
}

// workspaceOf returns the name of the workspace that holds a key, or "".
func workspaceOf(key string) string {
	for _, w := range workspaces {
		if w.key == key {
			return w.name
		}
	}
	return ""
}

// checkWorkspaces reports requests that ran for a workspace other than their key's, keys
// that targets saw or nodes denied, and windows with more requests than a quota allows.
func checkWorkspaces(h *history) []breach {
	var broken []breach
	keys := make(map[string]string)
	for _, c := range h.calls {
		keys[c.id] = c.key
		if c.status == http.StatusUnauthorized && workspaceOf(c.key) != "" {
			broken = append(broken, breach{promiseKeys, fmt.Sprintf("%s was denied with the key of %s", c.id, workspaceOf(c.key)), c.id})
		}
	}
	arrivals := make(map[string][]time.Time)
	first := make(map[string]bool)
	for _, r := range h.runs {
		key, sent := keys[r.Request]
		switch {
		case !sent || key == "":
		case r.KeySeen || r.Workspace != workspaceOf(key):
			broken = append(broken, breach{promiseIdentity, fmt.Sprintf("%s ran for %q, key seen: %t", r.Request, r.Workspace, r.KeySeen), r.Request})
		case workspaceOf(key) == "":
			broken = append(broken, breach{promiseKeys, fmt.Sprintf("%s ran with an unknown key", r.Request), r.Request})
		case !first[r.Request]:
			first[r.Request] = true
			arrivals[r.Workspace] = append(arrivals[r.Workspace], r.Start)
		}
	}
	for _, w := range workspaces {
		if w.perSecond > 0 {
			broken = append(broken, checkQuota(w, arrivals[w.name])...)
		}
	}
	return broken
}

// checkQuota reports the first window in which more requests of a workspace arrived than
// its quota allows.
func checkQuota(w workspace, arrivals []time.Time) []breach {
	allowed := (w.perSecond*quotaWindow.Seconds()+w.burst)*(1+quotaOverage) + quotaSlack
	slices.SortFunc(arrivals, time.Time.Compare)
	for i, at := range arrivals {
		end, _ := slices.BinarySearchFunc(arrivals, at.Add(quotaWindow), time.Time.Compare)
		if float64(end-i) > allowed {
			return []breach{{promiseQuota, fmt.Sprintf("%d requests of %s in %s, %.0f allowed", end-i, w.name, quotaWindow, allowed), ""}}
		}
	}
	return nil
}

// owed reports whether a request has to be served: its key is held, and it has no quota.
func (c *call) owed() bool { return c.key == "" || c.key == steady.key }
