package node

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/outcome"
)

// The result of a node that did not check the claims must not tell the caller
// that a keyed request was not run; the result of a node that did is kept.
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
