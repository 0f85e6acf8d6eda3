package control

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	qt "github.com/frankban/quicktest"
)

const testKey = "0123456789abcdef-shared"

type ping struct {
	Text string `cbor:"1,keyasint"`
}

func startTransport(t *testing.T, name, key string) (*Transport, Peer) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	return startTransportOn(t, name, key, l)
}

func startTransportOn(t *testing.T, name, key string, l net.Listener) (*Transport, Peer) {
	t.Helper()
	tr, err := New(Config{Name: name, Key: []byte(key), Seed: 1})
	qt.Assert(t, err, qt.IsNil)
	served := make(chan error, 1)
	go func() { served <- tr.Serve(l) }()
	t.Cleanup(func() {
		qt.Check(t, tr.Close(), qt.IsNil)
		qt.Check(t, <-served, qt.IsNil)
	})
	return tr, Peer{Name: name, ControlAddress: l.Addr().String()}
}

func echo(_ context.Context, from string, body []byte) (any, error) {
	var p ping
	if err := Unmarshal(body, &p); err != nil {
		return nil, err
	}
	if p.Text == "fail" {
		return nil, errors.New("asked to fail")
	}
	return ping{Text: from + ":" + p.Text}, nil
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// TestPatientCallWaitsBehindOtherMessages guards against a peer that counts as lost because
// its answer is behind large messages on a thin link.
func TestPatientCallWaitsBehindOtherMessages(t *testing.T) {
	const silence = 150 * time.Millisecond
	a, _ := startTransport(t, "a", testKey)
	b, toB := startTransport(t, "b", testKey)
	b.Handle("echo", echo)
	b.Handle("late", func(ctx context.Context, _ string, _ []byte) (any, error) {
		time.Sleep(3 * silence)
		return ping{}, nil
	})
	ctx := testContext(t)
	qt.Check(t, a.Call(ctx, toB, "echo", ping{}, nil), qt.IsNil)
	start := time.Now()
	err := a.CallPatiently(ctx, toB, "late", ping{}, nil, silence)
	qt.Check(t, errors.Is(err, ErrSilent), qt.IsTrue, qt.Commentf("%v", err))
	qt.Check(t, time.Since(start) < 3*silence, qt.IsTrue)

	others, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		for others.Err() == nil {
			_ = a.Call(others, toB, "echo", ping{}, nil)
			time.Sleep(silence / 5)
		}
	}()
	qt.Check(t, a.CallPatiently(ctx, toB, "late", ping{}, nil, silence), qt.IsNil)
}

func TestCallAndSend(t *testing.T) {
	a, _ := startTransport(t, "a", testKey)
	b, toB := startTransport(t, "b", testKey)
	b.Handle("echo", echo)
	got := make(chan string, 1)
	b.Handle("note", func(_ context.Context, from string, _ []byte) (any, error) {
		got <- from
		return nil, nil
	})
	ctx := testContext(t)

	var reply ping
	qt.Assert(t, a.Call(ctx, toB, "echo", ping{Text: "x"}, &reply), qt.IsNil)
	qt.Assert(t, reply.Text, qt.Equals, "a:x")

	err := a.Call(ctx, toB, "echo", ping{Text: "fail"}, &reply)
	var remote *RemoteError
	qt.Assert(t, errors.As(err, &remote), qt.IsTrue)
	qt.Assert(t, remote.Text, qt.Equals, "asked to fail")

	qt.Assert(t, a.Send(ctx, toB, "note", ping{}), qt.IsNil)
	qt.Assert(t, <-got, qt.Equals, "a")
	qt.Assert(t, a.Counters().Dials, qt.Equals, int64(1))
	qt.Assert(t, a.Counters().SentBytes, qt.Equals, b.Counters().ReceivedBytes)
}

func TestUnknownKindIsIgnoredAndCounted(t *testing.T) {
	a, _ := startTransport(t, "a", testKey)
	b, toB := startTransport(t, "b", testKey)
	b.Handle("echo", echo)
	ctx := testContext(t)
	qt.Assert(t, a.Send(ctx, toB, "newer", ping{}), qt.IsNil)
	qt.Assert(t, a.Call(ctx, toB, "newer", ping{}, nil), qt.ErrorMatches, `b: unknown kind "newer"`)
	qt.Assert(t, a.Call(ctx, toB, "echo", ping{}, nil), qt.IsNil)
	qt.Assert(t, b.Counters().UnknownKinds, qt.Equals, int64(2))
}

func TestPeerWithAnotherKeyIsRefused(t *testing.T) {
	b, toB := startTransport(t, "b", testKey)
	called := make(chan struct{}, 1)
	b.Handle("echo", func(context.Context, string, []byte) (any, error) {
		called <- struct{}{}
		return nil, nil
	})
	otherKey, toOtherKey := startTransport(t, "s", "another key, as long")
	ctx := testContext(t)
	qt.Assert(t, otherKey.Call(ctx, toB, "echo", ping{}, nil), qt.IsNotNil)
	err := b.Call(ctx, toOtherKey, "echo", ping{}, nil)
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, len(called), qt.Equals, 0)
	qt.Assert(t, b.Counters().RefusedPeers, qt.Equals, int64(1))
}

// TestFrameWithoutTagEndsTheConnection checks that a frame without a valid tag
// is not handled, although its sender completed the handshake.
func TestFrameWithoutTagEndsTheConnection(t *testing.T) {
	b, toB := startTransport(t, "b", testKey)
	called := make(chan struct{}, 1)
	b.Handle("echo", func(context.Context, string, []byte) (any, error) {
		called <- struct{}{}
		return nil, nil
	})
	ctx := testContext(t)
	ws, _, err := websocket.Dial(ctx, "ws://"+toB.ControlAddress+controlPath, nil)
	qt.Assert(t, err, qt.IsNil)
	defer ws.CloseNow()
	_, err = handshake(ctx, ws, roleDialer, "a", []byte(testKey))
	qt.Assert(t, err, qt.IsNil)
	data, err := Encode(Envelope{Version: Version, Kind: "echo"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, ws.Write(ctx, websocket.MessageBinary, append(data, make([]byte, tagBytes)...)), qt.IsNil)
	_, _, err = ws.Read(ctx)
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, len(called), qt.Equals, 0)
}

func TestSealerRefusesRepeatedFrames(t *testing.T) {
	key := []byte(testKey)
	out, in := newSealer(key, roleDialer), newSealer(key, roleDialer)
	frame := out.seal([]byte("one"))
	data, err := in.open(frame)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(data), qt.Equals, "one")
	_, err = in.open(frame)
	qt.Assert(t, errors.Is(err, ErrNotAuthenticated), qt.IsTrue)
}

func TestMessagesAreBounded(t *testing.T) {
	a, _ := startTransport(t, "a", testKey)
	b, toB := startTransport(t, "b", testKey)
	b.Handle("big", func(context.Context, string, []byte) (any, error) {
		return ping{Text: strings.Repeat("x", MaxMessageBytes)}, nil
	})
	ctx := testContext(t)
	err := a.Send(ctx, toB, "echo", ping{Text: strings.Repeat("x", MaxMessageBytes)})
	qt.Assert(t, errors.Is(err, ErrTooLarge), qt.IsTrue)
	err = a.Call(ctx, toB, "big", ping{}, nil)
	qt.Assert(t, err, qt.ErrorMatches, "b: control message too large")
}

func TestReconnectAfterRestart(t *testing.T) {
	a, _ := startTransport(t, "a", testKey)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	b, err := New(Config{Name: "b", Key: []byte(testKey)})
	qt.Assert(t, err, qt.IsNil)
	b.Handle("echo", echo)
	go func() { _ = b.Serve(l) }()
	toB := Peer{Name: "b", ControlAddress: l.Addr().String()}
	ctx := testContext(t)
	qt.Assert(t, a.Call(ctx, toB, "echo", ping{}, nil), qt.IsNil)
	qt.Assert(t, b.Close(), qt.IsNil)

	again, err := net.Listen("tcp", toB.ControlAddress)
	qt.Assert(t, err, qt.IsNil)
	restarted, _ := startTransportOn(t, "b", testKey, again)
	restarted.Handle("echo", echo)
	for a.Call(ctx, toB, "echo", ping{}, nil) != nil {
		qt.Assert(t, ctx.Err(), qt.IsNil)
		time.Sleep(5 * time.Millisecond)
	}
}

// TestCallerDoesNotWaitForAnothersDial guards against a caller that waits
// beyond its deadline for another caller's dial to a node that does not answer.
func TestCallerDoesNotWaitForAnothersDial(t *testing.T) {
	// The listener accepts connections and never answers, like a suspended node.
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	a, _ := startTransport(t, "a", testKey)
	silent := Peer{Name: "silent", ControlAddress: l.Addr().String()}
	ctx, stop := context.WithCancel(testContext(t))
	slow := make(chan error, 1)
	go func() { slow <- a.Call(ctx, silent, "echo", ping{}, nil) }()
	for a.Counters().Dials == 0 {
		time.Sleep(time.Millisecond)
	}
	shortCtx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	err = a.Call(shortCtx, silent, "echo", ping{}, nil)
	qt.Assert(t, errors.Is(err, context.DeadlineExceeded), qt.IsTrue)
	qt.Assert(t, len(slow), qt.Equals, 0)
	stop()
	qt.Assert(t, <-slow, qt.IsNotNil)
}

// reserveAddress binds an address, which refuses connections until listen is called. No
// other process can take it meanwhile.
func reserveAddress(t *testing.T) (address string, listen func() net.Listener) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	qt.Assert(t, err, qt.IsNil)
	file := os.NewFile(uintptr(fd), "reserved address")
	t.Cleanup(func() { _ = file.Close() })
	qt.Assert(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), qt.IsNil)
	bound, err := syscall.Getsockname(fd)
	qt.Assert(t, err, qt.IsNil)
	address = fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
	return address, func() net.Listener {
		qt.Assert(t, syscall.Listen(fd, syscall.SOMAXCONN), qt.IsNil)
		l, err := net.FileListener(file)
		qt.Assert(t, err, qt.IsNil)
		return l
	}
}

// TestPeerThatConnectsIsDialledAtOnce guards against a restarted peer that
// stays unreachable for the rest of a backoff although it has already connected
// to this node.
func TestPeerThatConnectsIsDialledAtOnce(t *testing.T) {
	a, toA := startTransport(t, "a", testKey)
	address, listen := reserveAddress(t)
	toB := Peer{Name: "b", ControlAddress: address}
	ctx := testContext(t)
	a.Handle("echo", echo)
	for range 5 {
		qt.Assert(t, a.Call(ctx, toB, "echo", ping{}, nil), qt.IsNotNil)
	}
	b, _ := startTransportOn(t, "b", testKey, listen())
	b.Handle("echo", echo)
	qt.Assert(t, b.Call(ctx, toA, "echo", ping{}, nil), qt.IsNil)
	// The backoff after five failures is at least 1.6 s.
	shortCtx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer cancel()
	qt.Assert(t, a.Call(shortCtx, toB, "echo", ping{}, nil), qt.IsNil)
}
