package node

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/config/dynamic"
)

// withException returns a configuration whose only exception expires after d.
func withException(queue string, d time.Duration) *dynamic.Config {
	return &dynamic.Config{
		Services: []dynamic.Service{{Name: "larder", QueueLimit: 256}},
		Exceptions: []dynamic.Exception{{
			Name: "heat-wave", Scope: "service larder", Key: "queue_limit", Value: queue, Expires: time.Now().Add(d),
		}},
	}
}

func TestExceptionEndsByItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var limits []int
		f := configInForce{effective: func(c *dynamic.Config) { limits = append(limits, c.Services[0].QueueLimit) }}
		f.set(withException("900", time.Hour))
		time.Sleep(time.Hour)
		synctest.Wait()
		qt.Assert(t, limits, qt.DeepEquals, []int{900, 256})
	})
}

// The expiry of an exception in a replaced configuration must not bring that
// configuration into force again.
func TestExceptionOfAReplacedConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var limits []int
		f := configInForce{effective: func(c *dynamic.Config) { limits = append(limits, c.Services[0].QueueLimit) }}
		f.set(withException("900", time.Hour))
		f.set(withException("700", 3*time.Hour))
		time.Sleep(2 * time.Hour)
		synctest.Wait()
		qt.Assert(t, limits, qt.DeepEquals, []int{900, 700})
	})
}
