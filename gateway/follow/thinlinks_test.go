package follow

import (
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/platform"
	"filbertmill.example/testbed/faultproxy"
)

const (
	// thinLink is the bandwidth in bytes/s of a host's link of 10 Mbit/s.
	thinLink = 10_000_000 / 8
	// thinApplyLimit is the time in which a change has to be in force on hosts with such
	// links, and recoveryLimit the one in which a fleet that starts has to serve.
	thinApplyLimit = 2500 * time.Millisecond
	recoveryLimit  = 15 * time.Second
)

// largeConfiguration returns a configuration with routes of 150 bytes, up to the given
// size. Versions with the same seed have the same routes as far as they go.
func largeConfiguration(version, bytes int, seed uint64) []byte {
	rng := rand.New(rand.NewPCG(seed, 0))
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":"%08x","listeners":[{"host":"h","policy":[`, version)
	for i := 0; ; i++ {
		name := hex.EncodeToString([]byte{byte(rng.Uint32()), byte(rng.Uint32()), byte(rng.Uint32()), byte(rng.Uint32()), byte(rng.Uint32())})
		route := fmt.Sprintf(`{"name":"r%06d","kind":"safe","slo-s":1.2,"priority":1,"match":{"prefix":"/%s/"},"action":{"service":"s","timeout-s":2,"attempts":2}}`, i, name)
		if b.Len()+len(route)+64 > bytes {
			break
		}
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(route)
	}
	b.WriteString(`]}],"clusters":[{"name":"s"}]}`)
	return []byte(b.String())
}

func putConfiguration(t *testing.T, c *platform.Client, text []byte) {
	t.Helper()
	_, err := c.Txn(t.Context(), nil, []platform.Put{{Key: platform.ConfigurationKey, Value: text}})
	qt.Assert(t, err, qt.IsNil)
}

// thin gives a proxy the bandwidth of a thin link.
func thin(p *faultproxy.Proxy) {
	p.Set(faultproxy.ToCaller, faultproxy.Fault{BytesPerSecond: thinLink})
}

func (m *member) version() int64 {
	cfg := m.replica.View().Config
	if cfg == nil {
		return 0
	}
	return int64(cfg.Revision)
}

// TestLargeVersionsThatWereMissedArriveThroughARelay guards against a node that never
// catches up, because a relay answers it with each version that it missed, in a message
// that exceeds the limit.
func TestLargeVersionsThatWereMissedArriveThroughARelay(t *testing.T) {
	t.Parallel()
	fleet := startProxiedFleet(t, 6)
	relays, others := fleet.relays()
	for _, m := range others {
		silence(m.store)
	}
	for _, m := range relays {
		silence(m.inbound)
		m.inbound.Cut()
	}
	for version := 2; version <= 4; version++ {
		putConfiguration(t, fleet.client, largeConfiguration(version, 500<<10, 1))
		for _, m := range relays {
			await(t, m.follower.cfg.Self.Name+" has the version", thinApplyLimit, func() bool { return m.version() == int64(version) })
		}
	}
	for _, m := range relays {
		m.inbound.Set(faultproxy.ToUpstream, faultproxy.Fault{})
		m.inbound.Set(faultproxy.ToCaller, faultproxy.Fault{})
		m.inbound.Cut()
	}
	healed := time.Now()
	for _, m := range others {
		await(t, m.follower.cfg.Self.Name+" has the latest version", relayBackoffMax+thinApplyLimit-time.Since(healed), func() bool { return m.version() == 4 })
	}
}

// TestLargeConfigurationArrivesOverThinLinks guards against a configuration that never
// arrives over links to the store on which one read takes longer than a fixed time limit.
func TestLargeConfigurationArrivesOverThinLinks(t *testing.T) {
	t.Parallel()
	fleet := startProxiedFleet(t, 3)
	for _, m := range fleet.members {
		thin(m.store)
	}
	for version := 2; version <= 5; version++ {
		putConfiguration(t, fleet.client, largeConfiguration(version, version*platform.MaxValueBytes/5, 1))
		acknowledged := time.Now()
		for _, m := range fleet.members {
			await(t, fmt.Sprintf("%s has version %d", m.follower.cfg.Self.Name, version), thinApplyLimit-time.Since(acknowledged),
				func() bool { return m.version() == int64(version) })
		}
	}
}

// TestFleetStartsOverThinLinks guards against nodes that never have a configuration after
// a start, because each of their reads of the store begins anew.
func TestFleetStartsOverThinLinks(t *testing.T) {
	t.Parallel()
	fleet := startProxiedFleet(t, 3)
	putConfiguration(t, fleet.client, largeConfiguration(2, platform.MaxValueBytes, 1))
	for _, m := range fleet.members {
		thin(m.store)
		m.stop()
	}
	started := time.Now()
	restarted := fleet.restart(t)
	for _, m := range restarted {
		await(t, m.follower.cfg.Self.Name+" has the configuration", recoveryLimit-time.Since(started), func() bool { return m.version() == 2 })
	}
}

// TestNewsOfTargetsPassALargeConfiguration guards against targets that stay in use after
// they have left, because that news waits behind a configuration on a relay's thin link.
func TestNewsOfTargetsPassALargeConfiguration(t *testing.T) {
	t.Parallel()
	fleet := startProxiedFleet(t, 12)
	relays, others := fleet.relays()
	for _, m := range others {
		silence(m.store)
	}
	for _, m := range relays {
		thin(m.inbound)
	}
	putConfiguration(t, fleet.client, largeConfiguration(2, platform.MaxValueBytes, 1))
	putConfiguration(t, fleet.client, largeConfiguration(3, platform.MaxValueBytes, 2))
	fleet.standin.Store.ExpireLeases()
	left := time.Now()
	for _, m := range others {
		await(t, m.follower.cfg.Self.Name+" drops the target that is gone", propagationLimit-time.Since(left), func() bool { return !m.lists("leased") })
	}
	for _, m := range others {
		await(t, m.follower.cfg.Self.Name+" has the configuration", recoveryLimit-time.Since(left), func() bool { return m.version() == 3 })
	}
	qt.Check(t, slices.ContainsFunc(others, func(m *proxiedMember) bool { return len(m.follower.Relays()) < 2 }), qt.IsFalse,
		qt.Commentf("relays that send a large value count as lost"))
}
