package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// poisonBody is the body of the request that crashes each backend that runs it.
	poisonBody = "poison"
	// crashTime is how long a backend is down after a crash.
	crashTime = 2 * time.Second
	// poisonInterval is the time between two sendings of that request.
	poisonInterval = 400 * time.Millisecond
	// allowedRetries is the number of retries that may reach backends later than contact-s
	// after the third crash.
	allowedRetries = 3
)

// crash ends a backend, which is back after crashTime as a new one.
func (f *fleet) crash(s *server, id string) {
	f.note("   %s crashes while it runs %s", s.id, id)
	s.end()
	time.AfterFunc(crashTime, func() {
		name, _, _ := strings.Cut(s.id, "+")
		f.startServer(fmt.Sprintf("%s+%d", name, time.Now().UnixMilli()), s.service, s.zone, s.work)
	})
}

// runRestarts has a request come again and again that crashes each backend that runs it, while
// the nodes are stopped and started in turn.
func runRestarts(f *fleet) bool {
	return f.sendPoison(poisonBody, func() {
		for i := range f.nodes {
			if f.trouble {
				f.restart(i)
				time.Sleep(time.Second)
			} else {
				time.Sleep(4 * time.Second)
			}
		}
	})
}

// runMidAnswer has such a request crash backends while they send its answer. Without the
// trouble it is an ordinary one.
func runMidAnswer(f *fleet) bool {
	f.answerBegins = true
	body := poisonBody
	if !f.trouble {
		body = "another booking"
	}
	return f.sendPoison(body, func() { time.Sleep(10 * time.Second) })
}

// sendPoison sends a request with the given body each poisonInterval, and ordinary ones beside
// it, until meanwhile returns.
func (f *fleet) sendPoison(body string, meanwhile func()) bool {
	const nodes, backends = 4, 8
	for i := range backends {
		f.startServer(fmt.Sprint("i-desk-", i), "desk", zones[i%len(zones)], 200*time.Millisecond)
	}
	f.configure("", route{"/desk/", "unsafe", "desk", false})
	f.startNodes(nodes)
	time.Sleep(contact + time.Second)

	stop := make(chan struct{})
	var clients sync.WaitGroup
	var asked, lost, served, sent, answered int
	var late int
	var third time.Time
	clients.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(poisonInterval):
			}
			n := f.inTouch(i)
			if n < 0 {
				continue
			}
			id, at := fmt.Sprint("bad-", i), time.Now()
			r := f.send(call{node: n, method: http.MethodPost, target: "/desk/x", id: id, body: body})
			if r.status == http.StatusOK {
				answered++
			}
			if len(f.runsOf(id)) == 0 || r.status == http.StatusOK {
				continue
			}
			switch sent++; {
			case sent == 3:
				third = time.Now()
				f.note("the request has crashed three backends")
			case sent > 3 && at.After(third.Add(contact)):
				late++
				f.note("retry %d that reaches a backend later than contact-s after that", late)
			}
		}
	})
	for c := range 8 {
		clients.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				n := f.inTouch(c + i)
				if n < 0 {
					continue
				}
				id := fmt.Sprintf("good-%d-%d", c, i)
				r := f.send(call{node: n, method: http.MethodPost, target: "/desk/x", id: id, body: "a booking", quiet: true})
				ran := len(f.runsOf(id)) > 0
				f.mu.Lock()
				asked++
				if r.status == http.StatusOK {
					served++
				} else if ran {
					lost++
				}
				f.mu.Unlock()
			}
		})
	}
	time.Sleep(12 * time.Second)
	meanwhile()
	time.Sleep(5 * time.Second)
	close(stop)
	clients.Wait()
	f.note("the repeated request ran without a 200 %d times, %d of them in retries later than contact-s after the third crash", sent, late)
	f.note("the repeated request was answered 200 %d times", answered)
	f.note("other bookings: %d of %d served, %d run by a backend and not answered 200", served, asked, lost)
	requireShare("other bookings were served", served, asked)
	if body == poisonBody && third.IsZero() {
		panic(notRun("the request has not crashed three backends"))
	}
	return late <= allowedRetries
}
