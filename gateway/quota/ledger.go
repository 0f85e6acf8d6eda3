package quota

import (
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertmill.example/gateway/follow"
	"filbertmill.example/gateway/replica"
	"filbertmill.example/gateway/suspend"
)

const (
	// clockStart is the clock of a new Ledger. It exceeds the age of any message that a
	// new Ledger may receive, so that the time of issue is positive.
	clockStart = time.Hour
	// maxTransit is the age from which on a deposit is dropped.
	maxTransit = 500 * time.Millisecond
	// A home is short of deposits if those of depositedTime are less than shortShare of
	// what all hosts deposit.
	depositedTime = time.Second
	shortShare    = 0.7
	// accountIdleTime is how long an account is kept without a question: longer than any
	// of its tokens last.
	accountIdleTime = 30 * time.Second
	// maxRelayLists limits the lists of relays whose deposits are kept apart.
	maxRelayLists = 16
	// maxRelays limits the relays of one list, and maxSpent the workspaces for which one
	// host spends its share itself in the time of one deposit.
	maxRelays = 16
	maxSpent  = 1024
)

// Deposit is a host's share of the fleet's time for the workspaces of one home.
type Deposit struct {
	// List identifies the list of the relays that the host uses, and Relays names them if
	// the receiver may not know the list. The deposit counts for the workspaces whose home
	// the receiver is among these.
	List   uint64   `cbor:"5,keyasint"`
	Relays []string `cbor:"1,keyasint,omitempty"`
	// Share is the fleet time.
	Share time.Duration `cbor:"2,keyasint"`
	// IssuedAt is when the share ended, by the clock of the receiving Ledger.
	IssuedAt time.Duration `cbor:"3,keyasint"`
	// Spent holds, by workspace, how much of the share the host has spent itself.
	Spent map[string]time.Duration `cbor:"4,keyasint,omitempty"`
}

// Ask asks the home of a workspace to admit requests.
type Ask struct {
	Workspace string `cbor:"1,keyasint"`
	// Need is the number of requests that wait, and Spare the number of further ones that
	// are expected soon.
	Need  int `cbor:"2,keyasint"`
	Spare int `cbor:"3,keyasint,omitempty"`
	// Unused is the number of admissions that the node has not used.
	Unused int `cbor:"4,keyasint,omitempty"`
}

// Answer answers an Ask.
type Answer struct {
	// Admitted is the number of requests that are admitted.
	Admitted int `cbor:"1,keyasint,omitempty"`
	// RetryAfter is when further requests may be admitted.
	RetryAfter time.Duration `cbor:"2,keyasint,omitempty"`
	// Unknown is set if the home does not know the workspace, and nothing was decided.
	Unknown bool `cbor:"3,keyasint,omitempty"`
	// Short is set if the limit allows further requests, but too few hosts have deposited
	// their shares with this home.
	Short bool `cbor:"4,keyasint,omitempty"`
}

// Ledger admits the requests of the workspaces of which this node is the home. It is safe
// for concurrent use.
type Ledger struct {
	bound Bound
	self  string
	// limit returns the limit of a workspace, if it is known.
	limit   func(workspace string) (Limit, bool)
	started time.Time

	mu       sync.Mutex
	accounts map[string]*account
	// lists holds the deposits by the listID of the relays of the hosts that made them.
	lists     map[uint64]*relayList
	lastPrune time.Duration
	// suspended is the total time of suspensions that is taken into account.
	suspended time.Duration
}

// relayList is a list of relays by which hosts choose homes.
type relayList struct {
	shareClock
	relays   []replica.Node
	lastUsed time.Duration
}

// account is the state of one workspace.
type account struct {
	// tokens is what the deposits of hosts entitle this home to admit, and allowed what
	// the limit has left by the requests that this home knows of.
	tokens, allowed float64
	at              time.Duration
	// deposited is the fleet time of the last depositedTime, in seconds.
	deposited float64
	// seen is the fleet time of each list that has been turned into tokens.
	seen map[uint64]time.Duration
}

// NewLedger returns a Ledger without deposits. limit returns the limit of a workspace,
// if it is known; the limit has a Rate above 0.
func NewLedger(self string, b Bound, limit func(workspace string) (Limit, bool)) *Ledger {
	return &Ledger{
		bound: b, self: self, limit: limit, started: time.Now(), suspended: suspend.Total(),
		accounts: make(map[string]*account), lists: make(map[uint64]*relayList),
	}
}

// Clock returns the Ledger's own time.
func (l *Ledger) Clock() time.Duration { return l.clockAt(time.Now()) }

func (l *Ledger) clockAt(now time.Time) time.Duration { return clockStart + now.Sub(l.started) }

// Deposit adds a share. One whose time of issue is not known is dropped, as its tokens
// may have expired, and so is one from before this Ledger began. Deposit reports whether
// the list of relays is known; if not, the share is not added.
func (l *Ledger) Deposit(now time.Time, d Deposit) (known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expireAfterSuspension()
	at := l.clockAt(now)
	list := l.list(at, d)
	if list == nil {
		return false
	}
	age := at - d.IssuedAt
	if d.IssuedAt <= 0 || age < 0 || age > maxTransit || d.Share <= 0 || d.Share > maxPeriod || len(d.Spent) > maxSpent {
		return true
	}
	for workspace, spent := range d.Spent {
		limit, known := l.limit(workspace)
		if known && l.isHome(workspace, list) {
			perSecond, _ := l.bound.issue(limit)
			l.fill(at, workspace, limit).tokens -= perSecond * min(max(spent, 0), d.Share).Seconds()
		}
	}
	list.add(d.IssuedAt, d.Share)
	return true
}

// isHome reports whether this node is the home of a workspace for the hosts that use a
// list of relays.
func (l *Ledger) isHome(workspace string, list *relayList) bool {
	return follow.RankHomes(HomeKey(workspace), list.relays)[0].Name == l.self
}

// list returns the deposits by the list of relays of d. It returns nil if the list is not
// known, or one too many.
func (l *Ledger) list(at time.Duration, d Deposit) *relayList {
	list := l.lists[d.List]
	if list == nil {
		l.prune(at)
		if len(l.lists) >= maxRelayLists || len(d.Relays) > maxRelays || !slices.Contains(d.Relays, l.self) || d.List != listID(d.Relays) {
			return nil
		}
		list = &relayList{}
		for _, name := range d.Relays {
			list.relays = append(list.relays, replica.Node{Name: name})
		}
		l.lists[d.List] = list
	}
	list.lastUsed = at
	return list
}

// listID identifies a list of relays.
func listID(relays []string) uint64 { return xxhash.Sum64String(strings.Join(relays, "\x00")) }

// Ask admits requests of a workspace, as far as its limit and the deposits allow.
func (l *Ledger) Ask(now time.Time, a Ask) Answer {
	limit, known := l.limit(a.Workspace)
	if !known {
		return Answer{Unknown: true}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expireAfterSuspension()
	at := l.clockAt(now)
	l.pruneAtTimes(at)
	acc := l.fill(at, a.Workspace, limit)
	acc.allowed = min(acc.allowed+float64(max(a.Unused, 0)), l.bound.capacity(limit))
	left := min(acc.tokens, acc.allowed)
	admitted := min(float64(max(a.Need, 0)), math.Floor(max(left, 0)))
	// What is admitted ahead of time is missing for other nodes, so that half is kept.
	spare := min(float64(max(a.Spare, 0)), math.Floor(max((left-admitted)/2, 0)))
	acc.tokens -= admitted + spare
	acc.allowed -= admitted + spare
	answer := Answer{Admitted: int(admitted + spare)}
	if answer.Admitted < a.Need {
		answer.Short = acc.allowed >= 1 && acc.deposited < shortShare*depositedTime.Seconds()
		missing := 1 - min(acc.tokens, acc.allowed)
		answer.RetryAfter = time.Duration(missing / limit.Rate * float64(time.Second))
	}
	return answer
}

// fill returns the account of a workspace with what has accrued until now.
func (l *Ledger) fill(at time.Duration, workspace string, limit Limit) *account {
	perSecond, life := l.bound.issue(limit)
	acc := l.accounts[workspace]
	isNew := acc == nil
	if isNew {
		acc = &account{allowed: l.bound.capacity(limit), at: at, seen: make(map[uint64]time.Duration)}
		l.accounts[workspace] = acc
	}
	unexpired := 0.0
	acc.deposited = 0
	for key, list := range l.lists {
		if !l.isHome(workspace, list) {
			continue
		}
		if !isNew {
			acc.tokens += perSecond * (list.total - acc.seen[key]).Seconds()
		}
		acc.seen[key] = list.total
		unexpired += list.within(at, life).Seconds()
		acc.deposited += list.within(at, depositedTime).Seconds()
	}
	if isNew {
		acc.tokens = perSecond * unexpired
	}
	acc.tokens = min(acc.tokens, perSecond*unexpired)
	acc.allowed = min(acc.allowed+limit.Rate*(at-acc.at).Seconds(), l.bound.capacity(limit))
	acc.at = at
	return acc
}

// HomeKey is the key by which the home of a workspace is ranked.
func HomeKey(workspace string) string { return "workspace\x00" + workspace }

// expireAfterSuspension drops all deposits after the host was suspended, a time that the
// clock does not show.
func (l *Ledger) expireAfterSuspension() {
	d := suspend.Since(l.suspended)
	if d == 0 {
		return
	}
	l.suspended += d
	clear(l.lists)
	clear(l.accounts)
}

// pruneAtTimes prunes once in a while.
func (l *Ledger) pruneAtTimes(at time.Duration) {
	if at-l.lastPrune >= accountIdleTime {
		l.prune(at)
	}
}

// prune forgets lists and accounts that are not used any more.
func (l *Ledger) prune(at time.Duration) {
	l.lastPrune = at
	for key, list := range l.lists {
		if at-list.lastUsed > l.bound.window() {
			delete(l.lists, key)
			for _, acc := range l.accounts {
				delete(acc.seen, key)
			}
		}
	}
	for name, acc := range l.accounts {
		if at-acc.at > accountIdleTime {
			delete(l.accounts, name)
		}
	}
}
