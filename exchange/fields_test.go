package exchange

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// brokenFields are lines that are no header fields (RFC 9110, section 5; RFC 9112,
// section 5).
var brokenFields = map[string]string{
	"blank before the colon":            "X-Odd : 1",
	"tab before the colon":              "X-Odd\t: 1",
	"length with a blank":               "Content-Length : 2",
	"coding with a blank":               "Transfer-Encoding : chunked",
	"coding with a tab":                 "Transfer-Encoding\t: chunked",
	"coding with a NUL":                 "Transfer-Encoding\x00: chunked",
	"coding with a control byte":        "Transfer-Encoding\x0b: chunked",
	"coding with a DEL":                 "\x7fTransfer-Encoding: chunked",
	"length with a NUL":                 "Content-Length\x00: 7",
	"blank within the name":             "X Odd: 1",
	"control byte within the name":      "X-\x01Odd: 1",
	"NUL within the name":               "X-\x00Odd: 1",
	"bare CR within the name":           "X\rContent-Length: 7",
	"byte beyond ASCII within the name": "X-\xc3\xa9: 1",
	"delimiter within the name":         "X(Odd): 1",
	"quote within the name":             "\"X-Odd\": 1",
	"no name":                           ": 1",
	"no colon":                          "X-Odd",
	"bare CR within the value":          "X-Odd: 1\rContent-Length: 7",
	"bare CR at the end of the value":   "X-Odd: 1\r",
	"NUL within the value":              "X-Odd: 1\x002",
	"line that begins with a blank":     " X-Odd: 1",
	"line that begins with a tab":       "\tX-Odd: 1",
	"folded value":                      "X-Odd: 1\r\n 2",
	"folded length":                     "Content-Length:\r\n 7",
}

// TestHeadWithBrokenFieldsIsNoAnswer guards against an answer of a target in trouble, in
// whose head a field name holds a blank or a control byte, and that reaches the caller with
// that line or with a body that is not the target's.
func TestHeadWithBrokenFieldsIsNoAnswer(t *testing.T) {
	c := qt.New(t)
	const proper = "X-Request-Id: r1\r\nContent-Length: 2\r\n"
	for kind, line := range brokenFields {
		for place, head := range map[string]string{
			"first": line + "\r\n" + proper, "last": proper + line + "\r\n", "alone": "X-Request-Id: r1\r\n" + line + "\r\n",
		} {
			for _, before := range []string{"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"} {
				for _, opts := range []Options{{Echo: EchoRequestHeader, EchoHeader: "X-Request-Id"}, {Echo: EchoNone}} {
					s := serveScript(c, before+"HTTP/1.1 200 OK\r\n"+head+"\r\nok")
					cl := NewClient(opts)
					_, f := cl.Do(t.Context(), Call{Address: s.ln.Addr().String(), Request: requestWithID("r1"), Unframed: true})
					if c.Check(f == nil, qt.IsFalse, qt.Commentf("%s, %s, behind %q", kind, place, before)) {
						c.Check(f.Cause, qt.Equals, CauseMalformed, qt.Commentf("%s: %v", kind, f))
						c.Check(f.NotSent(), qt.IsFalse)
					}
					c.Check(cl.HasIdle(s.ln.Addr().String()), qt.IsFalse)
					_ = s.ln.Close()
				}
			}
		}
	}
	for _, line := range []string{
		"X-Odd:1", "X-Odd: ", "x-odd:\t1 \t", "!#$%&'*+-.^_`|~09aZ: v", "X-Odd: a:b \xc3\xa9 \x01", "X-Odd: \"quoted (text)\"",
	} {
		s := serveScript(c, "HTTP/1.1 200 OK\r\n"+line+"\r\n"+proper+"\r\nok")
		_, f := NewClient(Options{Echo: EchoNone}).Do(t.Context(), Call{Address: s.ln.Addr().String(), Request: requestWithID("r1")})
		c.Check(f == nil, qt.IsTrue, qt.Commentf("%q: %v", line, f))
		_ = s.ln.Close()
	}
}
