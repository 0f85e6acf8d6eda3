package quota

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"filbertmill.example/fleet/control"
)

// Messages to a home.
const (
	// kindAsk asks for admissions: an Ask, answered by an Answer.
	kindAsk control.Kind = "quota"
	// kindDeposit deposits a host's share: a Deposit, answered by a depositReply.
	kindDeposit control.Kind = "quota-share"
)

var (
	errNoHome           = errors.New("no home is known")
	errUnknownWorkspace = errors.New("the home does not know the workspace")
)

// depositReply answers a Deposit.
type depositReply struct {
	// Clock is the Ledger's clock.
	Clock time.Duration `cbor:"1,keyasint"`
	// UnknownList is set if the share was not added, as the home does not know the list of
	// relays.
	UnknownList bool `cbor:"2,keyasint,omitempty"`
}

// isRemote reports whether the home has answered, though with an error.
func isRemote(err error) bool {
	var remote *control.RemoteError
	return errors.Is(err, errUnknownWorkspace) || errors.As(err, &remote)
}

// Serve passes the messages that a Transport receives to the Ledger.
func Serve(l *Ledger, t *control.Transport) {
	t.Handle(kindAsk, func(_ context.Context, _ string, body []byte) (any, error) {
		var a Ask
		if err := control.Unmarshal(body, &a); err != nil {
			return nil, err
		}
		return l.Ask(time.Now(), a), nil
	})
	t.Handle(kindDeposit, func(_ context.Context, _ string, body []byte) (any, error) {
		var d Deposit
		if err := control.Unmarshal(body, &d); err != nil {
			return nil, err
		}
		now := time.Now()
		known := l.Deposit(now, d)
		return depositReply{Clock: l.clockAt(now), UnknownList: !known}, nil
	})
}
