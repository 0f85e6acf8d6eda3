package target

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"filbertmill.example/testbed/answer"
	"filbertmill.example/testbed/endless"
)

// reply sends an answer as the behavior configures it.
func (t *Target) reply(w http.ResponseWriter, b Behavior, body []byte, id string) {
	h := w.Header()
	h.Set(answer.HeaderRequest, id)
	h.Set("Content-Type", "text/plain")
	switch {
	case t.draw(b.TruncateShare):
		c := hijack(w)
		if c == nil {
			return
		}
		c.Write(truncated(h, body, b.TruncateChunked))
		c.Close()
	case t.draw(b.DoubleShare):
		c := hijack(w)
		if c == nil {
			return
		}
		c.Write(bytes.Repeat(complete(h, body), 2))
		c.Close()
	case b.Endless != "" && t.draw(b.EndlessShare):
		c := hijack(w)
		if c == nil {
			return
		}
		defer c.Close()
		var headers bytes.Buffer
		h.Write(&headers)
		// Write returns only when the caller has closed the connection.
		_, _ = endless.Write(c, b.Endless, headers.String(), string(body), b.Trickle)
	case t.draw(b.LateShare):
		time.Sleep(b.LateBy)
		c := hijack(w)
		if c == nil {
			return
		}
		c.Write(complete(h, body))
		c.Close()
	default:
		h.Set("Content-Length", strconv.Itoa(len(body)))
		w.Write(body)
	}
}

// replyInPart sends the first half of an answer.
func replyInPart(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
}

// hijack takes over the connection, or returns nil if that fails.
func hijack(w http.ResponseWriter) net.Conn {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil
	}
	return c
}

// complete returns a complete answer.
func complete(h http.Header, body []byte) []byte {
	var b bytes.Buffer
	head(&b, h, fmt.Sprintf("Content-Length: %d\r\n", len(body)))
	b.Write(body)
	return b.Bytes()
}

// truncated returns an answer that ends after the first half of its body.
func truncated(h http.Header, body []byte, chunked bool) []byte {
	half := body[:len(body)/2]
	var b bytes.Buffer
	if chunked {
		head(&b, h, "Transfer-Encoding: chunked\r\n")
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(half), half)
		return b.Bytes()
	}
	head(&b, h, fmt.Sprintf("Content-Length: %d\r\n", len(body)))
	b.Write(half)
	return b.Bytes()
}

// head writes the status line and the headers of an answer.
func head(b *bytes.Buffer, h http.Header, framing string) {
	b.WriteString("HTTP/1.1 200 OK\r\n")
	h.Write(b)
	b.WriteString(framing)
	b.WriteString("\r\n")
}
