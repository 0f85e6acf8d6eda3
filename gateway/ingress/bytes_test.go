package ingress

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/common/test/mock"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
	qt "github.com/frankban/quicktest"

	"filbertmill.example/exchange/hop"
)

// TestBytesOfACallerDoNotEndTheProcess guards against bytes of a caller on which the
// codec panics and ends the process. The caller gets an answer with 400 instead.
func TestBytesOfACallerDoNotEndTheProcess(t *testing.T) {
	if os.Getenv("INGRESS_TEST_BYTES") == "" {
		cmd := exec.Command(os.Args[0], "-test.run=^TestBytesOfACallerDoNotEndTheProcess$")
		cmd.Env = append(os.Environ(), "INGRESS_TEST_BYTES=1")
		out, err := cmd.CombinedOutput()
		qt.Check(t, err, qt.IsNil, qt.Commentf("%.600s", out))
		return
	}
	_, addr := start(t, &echo{panics: make(chan Panic, 1), limits: Limits{HeaderBytes: 16384, BodyBytes: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: time.Second}})
	c, r := dial(t, addr)
	fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTrailer: ,X\r\n\r\n0\r\n\r\n")
	resp, _ := readAnswer(t, r)
	qt.Check(t, resp.StatusCode == 200 || resp.StatusCode == 400, qt.IsTrue)
}

// TestLengthsWithoutALimit guards against a process that ends because a caller
// announces a huge body while no configuration limits its size.
func TestLengthsWithoutALimit(t *testing.T) {
	for name, head := range map[string]string{
		"length": "Content-Length: 900000000000000000\r\n\r\nx",
		"chunk":  "Transfer-Encoding: chunked\r\n\r\nfffffffffffff\r\nx",
	} {
		t.Run(name, func(t *testing.T) {
			if os.Getenv("INGRESS_TEST_BYTES") == "" {
				cmd := exec.Command(os.Args[0], "-test.run=^TestLengthsWithoutALimit$/^"+name+"$")
				cmd.Env = append(os.Environ(), "INGRESS_TEST_BYTES=1")
				out, err := cmd.CombinedOutput()
				qt.Check(t, err, qt.IsNil, qt.Commentf("%.600s", out))
				return
			}
			_, addr := start(t, &echo{panics: make(chan Panic, 1)})
			c, _ := dial(t, addr)
			fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: h\r\n"+head)
			time.Sleep(200 * time.Millisecond)
		})
	}
}

// FuzzRequestBytes searches for further bytes of a caller on which the codec panics.
// The panics on names of trailers are known; the reader answers them with 400.
func FuzzRequestBytes(f *testing.F) {
	for _, s := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n3\r\nabc\r\n0\r\nX: y\r\n\r\n",
		"POST / HTTP/1.0\r\nConnection: keep-alive\r\nExpect: 100-continue\r\nContent-Type: multipart/form-data; boundary=x\r\nContent-Length: 1\r\n\r\nz",
		"\r\n\r\nGET http://h/x HTTP/1.1\nHost: h\n\tfold\nCookie: a=b; c\n\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(_ *testing.T, b []byte) {
		if bytes.Contains(bytes.ToLower(b), []byte("trailer:")) {
			return
		}
		r := protocol.Request{}
		src := mock.NewZeroCopyReader(string(b))
		if req.ReadHeaderWithLimit(&r.Header, src, 4096) != nil || hop.CheckFraming(&r.Header) != nil {
			return
		}
		if r.Header.ContentLength() > 1000 {
			return
		}
		_ = r.MayContinue()
		if r.Header.ContentLength() != 0 && req.ContinueReadBody(&r, src, 1000, false) != nil {
			return
		}
		own := &protocol.Request{}
		r.CopyTo(own)
		_ = own.Path()
		_ = own.Header.Host()
		_ = own.ConnectionClose()
		_ = own.Header.Peek("X-Request-Id")
		_ = hop.OutboundRequest(&own.Header)
	})
}
