package control

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
)

const (
	nonceBytes        = 32
	maxHandshakeBytes = 4 << 10
	maxNameBytes      = 256
)

// ErrNotAuthenticated reports a peer that does not hold the shared key.
var ErrNotAuthenticated = errors.New("control peer does not hold the shared key")

type role string

const (
	roleDialer   role = "dialer"
	roleAcceptor role = "acceptor"
)

// hello opens the handshake, in both directions.
type hello struct {
	Version uint8  `cbor:"1,keyasint"`
	Name    string `cbor:"2,keyasint"`
	Nonce   []byte `cbor:"3,keyasint"`
}

// proof answers the other end's nonce.
type proof struct {
	MAC []byte `cbor:"1,keyasint"`
}

// session is what both ends have agreed on.
type session struct {
	peer string
	key  []byte
}

// handshake proves the shared key to the other end and has it proved. The
// dialer proves first, so that a stranger who dials learns nothing.
func handshake(ctx context.Context, ws *websocket.Conn, r role, name string, key []byte) (session, error) {
	mine := hello{Version: Version, Name: name, Nonce: make([]byte, nonceBytes)}
	rand.Read(mine.Nonce)
	if err := writeCBOR(ctx, ws, mine); err != nil {
		return session{}, err
	}
	var theirs hello
	if err := readCBOR(ctx, ws, &theirs); err != nil {
		return session{}, err
	}
	if theirs.Version != Version {
		return session{}, ErrVersion
	}
	if len(theirs.Nonce) != nonceBytes || theirs.Name == "" || len(theirs.Name) > maxNameBytes {
		return session{}, ErrMalformed
	}
	dialer, acceptor := mine, theirs
	if r == roleAcceptor {
		dialer, acceptor = theirs, mine
	}
	transcript, err := cbor.Marshal([]hello{dialer, acceptor})
	if err != nil {
		return session{}, errors.Wrap(err, "encode handshake")
	}
	if err := exchangeProofs(ctx, ws, r, key, transcript); err != nil {
		return session{}, err
	}
	return session{peer: theirs.Name, key: tag(key, "session", transcript)}, nil
}

func exchangeProofs(ctx context.Context, ws *websocket.Conn, r role, key, transcript []byte) error {
	other := roleAcceptor
	if r == roleAcceptor {
		other = roleDialer
		if err := checkProof(ctx, ws, tag(key, string(other), transcript)); err != nil {
			return err
		}
	}
	if err := writeCBOR(ctx, ws, proof{MAC: tag(key, string(r), transcript)}); err != nil {
		return err
	}
	if r == roleAcceptor {
		return nil
	}
	return checkProof(ctx, ws, tag(key, string(other), transcript))
}

func checkProof(ctx context.Context, ws *websocket.Conn, want []byte) error {
	var p proof
	if err := readCBOR(ctx, ws, &p); err != nil {
		return err
	}
	if !hmac.Equal(p.MAC, want) {
		return ErrNotAuthenticated
	}
	return nil
}

func tag(key []byte, label string, data []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte("filbertmill control " + label + "\x00"))
	mac.Write(data)
	return mac.Sum(nil)
}

func writeCBOR(ctx context.Context, ws *websocket.Conn, msg any) error {
	data, err := cbor.Marshal(msg)
	if err != nil {
		return errors.Wrap(err, "encode handshake")
	}
	return errors.Wrap(ws.Write(ctx, websocket.MessageBinary, data), "write handshake")
}

func readCBOR(ctx context.Context, ws *websocket.Conn, into any) error {
	_, data, err := ws.Read(ctx)
	if err != nil {
		return errors.Wrap(err, "read handshake")
	}
	if err := decoding.Unmarshal(data, into); err != nil {
		return errors.Mark(errors.Wrap(err, "decode handshake"), ErrMalformed)
	}
	return nil
}
