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

// headerIdempotencyKey is the header with the idempotency key: a name that the
// caller gives a request that may run only once. A repeated request has the same
// key as the first.
const headerIdempotencyKey = "Idempotency-Key"

// maxKeyLength is the longest idempotency key, in bytes.
const maxKeyLength = 200

var (
	errDuplicateKey = errors.New("the request has more than one " + headerIdempotencyKey)
	errKeyLength    = errors.Newf("the %s is empty or longer than %d bytes", headerIdempotencyKey, maxKeyLength)
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
		return "", errDuplicateKey
	case keys[0] == "" || len(keys[0]) > maxKeyLength:
		return "", errKeyLength
	}
	return once.Key(keys[0]), nil
}

// setKey sets the key from the request's header, unless the request may run more
// than once anyway. The key is scoped to the host name in the Host header.
func (r *request) setKey(h *protocol.RequestHeader) error {
	key, err := readKey(h)
	if err != nil || key == "" || r.idempotent {
		return err
	}
	r.key = once.Key(routing.HostName(string(h.Host()))) + "/" + key
	return nil
}

// claimsNotChecked reports whether a refusal with the reason tells nothing about
// the request's key, because the node that refused did not check the claims.
func claimsNotChecked(reason outcome.Reason) bool {
	switch reason {
	case outcome.ReasonNoHome, outcome.ReasonShutdown, outcome.ReasonNoRoute, outcome.ReasonNoConfiguration:
		return true
	}
	return false
}

// keyUnknown replaces the result of a keyed request if no node has checked the
// claims: this request was not run, but an earlier one with the same key may
// have been. It returns any other result as it is.
func keyUnknown(res result) result {
	if !claimsNotChecked(res.outcome.Reason) {
		return res
	}
	res.discard(nil)
	return refused(outcome.ReasonEarlierUnknown, "no node could look at the key: "+string(res.outcome.Reason))
}

// setAbandonedClaim sets the header for an abandoned claim, if there is one.
func setAbandonedClaim(set func(name, value string), c once.Claim) {
	if c != (once.Claim{}) {
		set(hopAbandonedClaim, strconv.FormatUint(uint64(c.Epoch), 10)+"."+strconv.FormatUint(c.Sequence, 10))
	}
}

// parseAbandonedClaim parses the header's value as set by setAbandonedClaim. It
// returns a zero Claim for any other value.
func parseAbandonedClaim(value []byte) once.Claim {
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

// claimDigest returns the digest of a keyed request's method, URI and body, which
// a repeated request must match. For a body too large to hold in memory it
// covers the start and the length.
func (r *request) claimDigest() once.Digest {
	d := sha256.New()
	for _, part := range [][]byte{r.outbound.Header.Method(), r.outbound.Header.RequestURI()} {
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
