package exchange

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	qt "github.com/frankban/quicktest"

	"filbertmill.example/testbed/endless"
)

// unixDialer dials Unix domain sockets, so that fuzzing does not use up TCP ports.
type unixDialer struct{ network.Dialer }

func (d unixDialer) DialConnection(_, address string, timeout time.Duration, conf *tls.Config) (network.Conn, error) {
	return d.Dialer.DialConnection("unix", address, timeout, conf)
}

// serveBytes starts a server that sends to each connection the next bytes from the
// channel and then closes it properly.
func serveBytes(f *testing.F) (address string, next chan<- []byte) {
	address = filepath.Join(f.TempDir(), "s")
	ln, err := net.Listen("unix", address)
	qt.Assert(f, err, qt.IsNil)
	f.Cleanup(func() { ln.Close() })
	queue := make(chan []byte, 1)
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			data := <-queue
			go func() {
				defer nc.Close()
				if _, err := http.ReadRequest(bufio.NewReader(nc)); err != nil {
					return
				}
				_, _ = nc.Write(data)
				_ = nc.(*net.UnixConn).CloseWrite()
				_, _ = io.Copy(io.Discard, nc)
			}()
		}
	}()
	return address, queue
}

// fuzzLimit is the limit on a body in bytes.
const fuzzLimit = 128 << 10

// FuzzAnswer reads an answer from arbitrary bytes. This must not panic and must not
// use more memory than the limit allows. An answer that is accepted must have the
// status and body that the standard library reads from the same bytes.
func FuzzAnswer(f *testing.F) {
	for _, seed := range []string{
		completeAnswer,
		"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + completeAnswer,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=y\r\nwhole\r\n0\r\nX: y\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTrailer: ,\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.0 200 OK\r\n\r\nuntil the end",
		"HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX: folded\r\n more\r\nContent-Length: 2\r\n\r\nxx",
	} {
		f.Add([]byte(seed))
	}
	for _, kind := range endless.Kinds {
		var head bytes.Buffer
		_, _ = endless.Write(&cutWriter{&head, 300}, kind, "X: y\r\n", "body", 0)
		f.Add(head.Bytes())
	}
	address, next := serveBytes(f)
	cl := NewClient(Options{Name: "t", Echo: EchoNone, MaxIdle: -1})
	cl.dialer = unixDialer{cl.dialer}
	f.Fuzz(func(t *testing.T, data []byte) {
		next <- data
		m := NewMemoryBudget(1 << 20)
		res := m.NewReservation()
		defer res.Release()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		r := &protocol.Request{}
		r.Header.SetHost("test")
		r.Header.SetRequestURI("/")
		ans, failure := cl.Do(ctx, Call{Address: address, Request: r, NoReuse: true, MaxResponseBytes: fuzzLimit, Unframed: true})
		if failure != nil {
			return
		}
		defer ans.Body.Close()
		buf, err := ans.Body.ReadAll(res)
		if err != nil {
			if !errors.As(err, &failure) {
				t.Errorf("%T is no failure: %v", err, err)
			}
			return
		}
		if peak := m.Use().Peak; peak > 2*fuzzLimit+exemptBytes {
			t.Errorf("%d bytes held", peak)
		}
		got, _ := io.ReadAll(buf.Reader())
		checkAnswer(t, data, ans.Response.StatusCode(), got)
	})
}

// checkAnswer compares an accepted answer with what the standard library reads from
// data, without the empty lines before an answer, which the library does not allow.
// If the library reads no answer, it is only stricter than the client, which is no
// error.
func checkAnswer(t *testing.T, data []byte, status int, body []byte) {
	src := bufio.NewReader(bytes.NewReader(bytes.TrimLeft(data, "\r\n")))
	for {
		resp, err := http.ReadResponse(src, nil)
		if err != nil {
			return
		}
		if resp.StatusCode < 200 {
			continue
		}
		want, err := io.ReadAll(resp.Body)
		// The client discards trailers and the library parses them. The library may
		// therefore return other errors after the same body.
		if errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("a success of %q; the standard library reads no whole body: %v", body, err)
			return
		}
		if resp.StatusCode != status || !bytes.Equal(want, body) {
			t.Errorf("%d %q; the standard library reads %d %q", status, body, resp.StatusCode, want)
		}
		return
	}
}

// cutWriter accepts a number of bytes and then fails.
type cutWriter struct {
	to   io.Writer
	left int
}

func (w *cutWriter) Write(p []byte) (int, error) {
	n, err := w.to.Write(p[:min(len(p), w.left)])
	w.left -= n
	if err == nil && w.left == 0 {
		err = io.ErrShortWrite
	}
	return n, err
}
