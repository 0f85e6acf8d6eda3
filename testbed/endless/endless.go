// Package endless writes answers without end, as a faulty target may send them,
// until the other end closes the connection.
package endless

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"time"
)

// Kind is a kind of answer without end; the empty one stands for none.
type Kind string

// The kinds, named after the part of the answer that does not end.
const (
	StatusLine     Kind = "status-line"
	HeaderLines    Kind = "header-lines"
	HeaderValue    Kind = "header-value"
	Interim        Kind = "interim"
	Chunks         Kind = "chunks"
	TinyChunks     Kind = "tiny-chunks"
	ChunkSize      Kind = "chunk-size"
	ChunkSpaces    Kind = "chunk-spaces"
	ChunkExtension Kind = "chunk-extension"
	Trailers       Kind = "trailers"
	// Unframed is a body without a length.
	Unframed Kind = "unframed"
	// Overlong is a body that goes on after its Content-Length.
	Overlong Kind = "overlong"
	// Exabytes has a Content-Length of exabytes, and Overflow one that exceeds every
	// integer type.
	Exabytes Kind = "exabytes"
	Overflow Kind = "overflow"
	// Garbage is not HTTP and has no line ends. GarbageLines is not HTTP either, but
	// has line ends.
	Garbage      Kind = "garbage"
	GarbageLines Kind = "garbage-lines"
)

// Kinds holds all kinds.
var Kinds = []Kind{
	StatusLine, HeaderLines, HeaderValue, Interim, Chunks, TinyChunks, ChunkSize, ChunkSpaces, ChunkExtension, Trailers,
	Unframed, Overlong, Exabytes, Overflow, Garbage, GarbageLines,
}

// writeBytes is the least size of one write without a pause.
const writeBytes = 8 << 10

// Write writes an answer of the given kind until w fails, and returns the number of
// bytes sent. Headers are header lines, each with its line end. Body is the part of
// an Overlong answer that its Content-Length covers, and the body before Trailers.
// Pause is the time between two writes. If it is 0, Write writes as fast as w takes
// the bytes; else each write is a few bytes long.
func Write(w io.Writer, kind Kind, headers, body string, pause time.Duration) (int64, error) {
	start, unit := script(kind, headers, body)
	data := unit
	if pause == 0 {
		data = strings.Repeat(unit, writeBytes/len(unit)+1)
	}
	sent, err := io.WriteString(w, start)
	total := int64(sent)
	for err == nil {
		sent, err = io.WriteString(w, data)
		total += int64(sent)
		time.Sleep(pause)
	}
	return total, err
}

// script returns the start of an answer of the given kind, and the unit that is
// repeated after it.
func script(kind Kind, headers, body string) (start, unit string) {
	head := func(framing string) string { return "HTTP/1.1 200 OK\r\n" + headers + framing + "\r\n" }
	chunked := head("Transfer-Encoding: chunked\r\n")
	switch kind {
	case StatusLine:
		return "HTTP/1.1 200 O", "K"
	case HeaderLines:
		return "HTTP/1.1 200 OK\r\n" + headers, "X-More: more\r\n"
	case HeaderValue:
		return "HTTP/1.1 200 OK\r\n" + headers + "X-Long: ", "v"
	case Interim:
		return "", "HTTP/1.1 103 Early Hints\r\n\r\n"
	case Chunks:
		return chunked, "200\r\n" + strings.Repeat("c", 0x200) + "\r\n"
	case TinyChunks:
		return chunked, "1\r\nc\r\n"
	case ChunkSize:
		return chunked, "0"
	case ChunkSpaces:
		return chunked + "5", " "
	case ChunkExtension:
		return chunked + "5;x=", "y"
	case Trailers:
		return chunked + fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(body), body), "X-Trailer: t\r\n"
	case Unframed:
		return head(""), "unframed"
	case Overlong:
		return head(fmt.Sprintf("Content-Length: %d\r\n", len(body))) + body, "more"
	case Exabytes:
		return head("Content-Length: 4611686018427387904\r\n"), "exabytes"
	case Overflow:
		return head("Content-Length: 99999999999999999999999\r\n"), "overflow"
	case Garbage:
		return "", string(bytes.Trim(noise(), "\n"))
	case GarbageLines:
		return "", string(noise()) + "\r\nno 500 answer\r\n"
	}
	panic("endless: unknown kind " + string(kind))
}

// noise returns every byte value except the line feed, in an order that is not text.
func noise() []byte {
	b := make([]byte, 0, 256)
	for i := range 256 {
		if c := byte(i*167 + 13); c != '\n' {
			b = append(b, c)
		}
	}
	return b
}
