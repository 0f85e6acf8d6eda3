package node

import (
	"crypto/sha256"
	"strconv"
	"strings"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/ext"
	"github.com/cockroachdb/errors"

	"filbertmill.example/config/routing"
	"filbertmill.example/once"
	"filbertmill.example/outcome"
)

// headerIdempotencyKey is the caller's key for a request that may run once only.
const headerIdempotencyKey = "Idempotency-Key"

// maxKeyLength is the longest idempotency key, in bytes.
const maxKeyLength = 200

var (
	errKeyTwice  = errors.New("the request has more than one " + headerIdempotencyKey)
	errKeyLength = errors.Newf("the %s is empty or longer than %d bytes", headerIdempotencyKey, maxKeyLength)
)

// readKey returns the idempotency key of a request, or "" if it has none.
func readKey(h *protocol.RequestHeader) (once.Key, error) {
	var keys []string
	s := ext.HeaderScanner{B: h.RawHeaders()}
	for s.Next() {
		if strings.EqualFold(string(s.Key), headerIdempotencyKey) {
			keys = append(keys, strings.TrimSpace(string(s.Value)))
		}
	}
	switch {
	case len(keys) == 0:
		return "", nil
	case len(keys) > 1:
		return "", errKeyTwice
	case keys[0] == "" || len(keys[0]) > maxKeyLength:
		return "", errKeyLength
	}
	return once.Key(keys[0]), nil
}

// setKey takes the request's key, unless it may run more than once anyway. A
// key belongs to the host name that the request names.
func (r *request) setKey(h *protocol.RequestHeader) error {
	key, err := readKey(h)
	if err != nil || key == "" || r.idempotent {
		return err
	}
	r.key = once.Key(routing.HostName(string(h.Host()))) + "/" + key
	return nil
}

// unclaimed reports whether a reason says nothing of the key of a request: it is
// given by nodes that did not look at the claims.
func unclaimed(reason outcome.Reason) bool {
	switch reason {
	case outcome.ReasonNoHome, outcome.ReasonShutdown, outcome.ReasonNoRoute, outcome.ReasonNoConfiguration:
		return true
	}
	return false
}

// keyUnknown returns what the caller of a keyed request is told if no node that
// knows the claims could be asked: this sending was not run, but an earlier one
// may have been.
func keyUnknown(res result) result {
	if !unclaimed(res.outcome.Reason) {
		return res
	}
	res.settled(nil)
	return refused(outcome.ReasonEarlierUnknown, "no node could look at the key: "+string(res.outcome.Reason))
}

// setGaveUp writes a claim that was given up, if there is one.
func setGaveUp(set func(name, value string), c once.Claim) {
	if c != (once.Claim{}) {
		set(hopGaveUp, strconv.FormatUint(uint64(c.Epoch), 10)+"."+strconv.FormatUint(c.Sequence, 10))
	}
}

// parseGaveUp reads what setGaveUp wrote; anything else is no claim.
func parseGaveUp(value []byte) once.Claim {
	epoch, sequence, _ := strings.Cut(string(value), ".")
	e, err := strconv.ParseUint(epoch, 10, 64)
	if err != nil {
		return once.Claim{}
	}
	s, err := strconv.ParseUint(sequence, 10, 64)
	if err != nil {
		return once.Claim{}
	}
	return once.Claim{Epoch: once.Epoch(e), Sequence: s}
}

// askedFor returns the digest of what a keyed request asks for. Of a body too
// large to hold it covers the start and the length.
func (r *request) askedFor() once.Digest {
	d := sha256.New()
	for _, part := range [][]byte{r.onward.Header.Method(), r.onward.Header.RequestURI()} {
		d.Write(part)
		d.Write([]byte{0})
	}
	if r.body.stream == nil {
		d.Write(r.body.small)
	} else {
		d.Write(r.body.head)
		d.Write([]byte(strconv.Itoa(r.body.length)))
	}
	return once.Digest(d.Sum(nil))
}
