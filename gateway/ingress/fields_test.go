package ingress

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestRequestWithBrokenFieldsIsRefused guards against requests that are passed on and run
// though a field name holds a control byte, in which a target may see another length.
func TestRequestWithBrokenFieldsIsRefused(t *testing.T) {
	h := &echo{}
	_, addr := start(t, h)
	for _, line := range []string{
		"X-\x01dd: 1", "X-\x00dd: 1", "Transfer-Encoding\x00: chunked", "Content-Length\x0b: 3", "X\rContent-Length: 3",
		": 1", "X-Odd", "X-Odd : 1", " X-Odd: 1", "X-Odd: 1\r\n 2", "X-Odd: 1\rContent-Length: 3", "X-Odd: 1\x002", "X(Odd): 1",
	} {
		for _, before := range []string{"", "Host: h\r\n"} {
			c, r := dial(t, addr)
			_, _ = c.Write([]byte("GET / HTTP/1.1\r\n" + before + line + "\r\n"))
			if before == "" {
				_, _ = c.Write([]byte("Host: h\r\n"))
			}
			_, _ = c.Write([]byte("\r\n"))
			resp, _ := readAnswer(t, r)
			qt.Check(t, resp.StatusCode, qt.Equals, 400, qt.Commentf("%q behind %q", line, before))
			qt.Check(t, resp.Close, qt.IsTrue)
			_ = c.Close()
		}
	}
	c, r := dial(t, addr)
	_, _ = c.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\nx!#$%&'*+-.^_`|~: a:b \xc3\xa9\r\nX-Empty:\r\n\r\n"))
	resp, _ := readAnswer(t, r)
	qt.Check(t, resp.StatusCode, qt.Equals, 200)
	_ = c.Close()
}
