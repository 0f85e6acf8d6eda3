package node

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/outcome"
)

// A node that did not look at the claims vouches for no key; an answer of one
// that did stands.
func TestKeyUnknown(t *testing.T) {
	tests := []struct {
		given, want outcome.Reason
	}{
		{outcome.ReasonNoHome, outcome.ReasonEarlierUnknown},
		{outcome.ReasonShutdown, outcome.ReasonEarlierUnknown},
		{outcome.ReasonNoRoute, outcome.ReasonEarlierUnknown},
		{outcome.ReasonNoConfiguration, outcome.ReasonEarlierUnknown},
		{outcome.ReasonNoClaim, outcome.ReasonNoClaim},
		{outcome.ReasonKeyReused, outcome.ReasonKeyReused},
		{outcome.ReasonQueueFull, outcome.ReasonQueueFull},
		{outcome.ReasonAnswered, outcome.ReasonAnswered},
	}
	for _, tt := range tests {
		t.Run(string(tt.given), func(t *testing.T) {
			qt.Check(t, keyUnknown(refused(tt.given, "")).outcome.Reason, qt.Equals, tt.want)
		})
	}
}
