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

// Sizes in bytes. The maxima limit what an unauthenticated peer can send.
const (
	nonceBytes        = 32
	maxHandshakeBytes = 4 << 10
	maxNameBytes      = 256
)

// ErrNotAuthenticated reports that a handshake or a frame was not made with the
// shared key.
var ErrNotAuthenticated = errors.New("control peer does not hold the shared key")

// role is the role of one end in the handshake. Proofs and tags are bound to a
// role, so that neither can be sent back to its sender.
type role string

const (
	roleDialer   role = "dialer"
	roleAcceptor role = "acceptor"
)

// hello is the first message of the handshake in each direction.
type hello struct {
	Version uint8  `cbor:"1,keyasint"`
	Name    string `cbor:"2,keyasint"`
	Nonce   []byte `cbor:"3,keyasint"`
}

// proof is the second message of the handshake. It authenticates the hellos of
// both ends, with their nonces.
type proof struct {
	MAC []byte `cbor:"1,keyasint"`
}

// session is the result of a handshake: the peer's name and the key of the
// connection.
type session struct {
	peer string
	key  []byte
}

// handshake proves to the other end that this node holds the shared key, and
// checks the proof of the other end. The dialer proves first, so that an
// unauthenticated dialer obtains no proof.
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

// exchangeProofs sends this end's proof and checks the other's. The acceptor
// sends its proof only after it has checked the dialer's.
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

// checkProof reads the other end's proof and compares it with the wanted MAC.
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

// tag returns the HMAC of data. The label separates the uses of one key.
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
