package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"filbertmill.example/platform"
)

// Hostile callers hold what they can of a node's memory and connections beside the other
// callers. None of their requests reaches a target: they stop short of their end, or no
// route matches them.
const (
	// hostileMemoryMB is the memory of a node beside them.
	hostileMemoryMB = 128
	// hostileCallers is the number of hostile connections at a time, over all nodes.
	hostileCallers = 200
	// hostileSendTime limits the time to send, and hostileStay the time that a connection
	// stays open afterwards.
	hostileSendTime = 2 * time.Second
	hostileStay     = 5 * time.Second
	// hostileBody is a legal size of a body, and hostileHead one of a head.
	hostileBody = 1 << 20
	hostileHead = 16000
)

const promiseMemory = "processes stay within their memory"

// sendHostile has hostile callers send to random nodes until the context ends.
func (w *world) sendHostile(ctx context.Context) {
	var all sync.WaitGroup
	for i := range hostileCallers {
		all.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(i), 1))
			for n := 0; ctx.Err() == nil; n++ {
				w.sendHostileOnce(ctx, rng, fmt.Sprintf("hostile-%d-%d", i, n))
				sleep(ctx, time.Duration(rng.Int64N(int64(time.Second))))
			}
		})
	}
	all.Wait()
}

// sendHostileOnce opens a connection, sends what a hostile caller does, and stays.
func (w *world) sendHostileOnce(ctx context.Context, rng *rand.Rand, id string) {
	node := w.nodes[rng.IntN(len(w.nodes))]
	c, err := net.DialTimeout("tcp", node.spec.Callers, hostileSendTime)
	if err != nil {
		return // the node is down
	}
	defer c.Close()
	_ = c.SetWriteDeadline(time.Now().Add(hostileSendTime))
	head := fmt.Sprintf("POST /book/x HTTP/1.1\r\nHost: g.example\r\n%s: %s\r\n", platform.HeaderRequestID, id)
	body := bytes.Repeat([]byte{'h'}, hostileBody)
	// Errors of writes are ignored: the node may refuse the caller.
	switch rng.IntN(6) {
	case 0: // a head without its end
		_, _ = io.WriteString(c, head+strings.Repeat("X-Pad: "+strings.Repeat("p", 500)+"\r\n", hostileHead/510-1))
	case 1: // a large body without its end
		_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body[1:])
	case 2: // a small one
		_, _ = fmt.Fprintf(c, "%sContent-Length: 60000\r\n\r\n%s", head, body[:59999])
	case 3: // chunks without an end
		_, _ = io.WriteString(c, head+"Transfer-Encoding: chunked\r\n\r\n")
		for left := len(body); left > 0; left -= 1000 {
			if _, err := fmt.Fprintf(c, "3e8\r\n%s\r\n", body[:1000]); err != nil {
				break
			}
		}
	case 4: // a body beyond the limit
		_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, 1<<40, body)
	default: // many requests whose answers are not read
		request := fmt.Sprintf("GET /nowhere/%s HTTP/1.1\r\nHost: g.example\r\n%s: %s\r\n\r\n", strings.Repeat("&", 4000), platform.HeaderRequestID, id)
		for range 500 {
			if _, err := io.WriteString(c, request); err != nil {
				break
			}
		}
	}
	sleep(ctx, time.Duration(rng.Int64N(int64(hostileStay))))
}

// checkMemory reports the nodes whose process has used more memory than it may.
func (w *world) checkMemory() []breach {
	if !w.hostile {
		return nil
	}
	var broken []breach
	for _, n := range w.nodes {
		peak, err := n.processes.Latest().ResidentPeak()
		if err != nil {
			continue // it has ended
		}
		if mb := peak >> 20; mb > hostileMemoryMB {
			broken = append(broken, breach{promiseMemory, fmt.Sprintf("%s: %d MB resident, %d allowed", n.spec.Name, mb, hostileMemoryMB), ""})
		}
	}
	return broken
}
