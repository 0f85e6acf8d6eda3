package node

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/config/dynamic"
	"filbertmill.example/exchange"
)

// plannedText returns the text of a configuration with the given share of the
// planned size: 1,600 services, 18,000 routes and 51,000 targets.
func plannedText(share float64) []byte {
	var b bytes.Buffer
	services := int(1600 * share)
	for i := range services {
		fmt.Fprintf(&b, "[service s%d]\nslots = 6\n", i)
	}
	for i := range int(18_000 * share) {
		fmt.Fprintf(&b, "[route r%d]\nprefix = /p%d\nservice = s%d\n", i, i, i%services)
	}
	for i := range int(51_000 * share) {
		fmt.Fprintf(&b, "[target t%d]\nservice = s%d\naddress = 10.%d.%d.%d:8080\navailability_zone = z%d\n",
			i, i%services, i>>16, i>>8&255, i&255, i%8)
	}
	return b.Bytes()
}

// heapBytes returns the bytes of the heap in use after a garbage collection.
func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkConfigurationMemory reports the memory that a configuration in force
// uses, and the time to compute the load of each service.
func BenchmarkConfigurationMemory(b *testing.B) {
	for _, share := range []float64{0.01, 0.1, 1} {
		b.Run(fmt.Sprintf("share=%g", share), func(b *testing.B) {
			before := heapBytes()
			text := plannedText(share)
			withText := heapBytes()
			cfg, problems := dynamic.Parse("fleet.ini", text)
			qt.Assert(b, problems, qt.HasLen, 0)
			withConfig := heapBytes()
			table := newRouteTable(cfg)
			withTable := heapBytes()
			for b.Loop() {
				serviceLoads(cfg)
			}
			b.ReportMetric(withText-before, "text-B")
			b.ReportMetric(withConfig-withText, "config-B")
			b.ReportMetric(withTable-withConfig, "table-B")
			runtime.KeepAlive(text)
			runtime.KeepAlive(table)
		})
	}
}

// BenchmarkRequest sends requests through one node, or two if the node is not
// the service's home, to a target that answers immediately. Connections to a
// target are reused only if it returns the attempt's id (echo). The processor
// time is that of the nodes, the target and the client, which share this process.
func BenchmarkRequest(b *testing.B) {
	for _, echo := range []bool{false, true} {
		b.Run(fmt.Sprintf("echo=%t", echo), func(b *testing.B) { benchmarkPair(b, echo) })
	}
}

func benchmarkPair(b *testing.B, echo bool) {
	c := qt.New(b)
	t := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if echo {
			w.Header().Set(exchange.AttemptHeader, r.Header.Get(exchange.AttemptHeader))
		}
		_, _ = io.WriteString(w, "answer")
	}))
	b.Cleanup(t.Close)
	src := fmt.Sprintf("[service larder]\nslots = 64\n[route l]\nprefix = /\nservice = larder\n"+
		"[target t1]\nservice = larder\naddress = %s\navailability_zone = kandy\n", t.Listener.Addr())
	cfg, problems := dynamic.Parse("test.ini", []byte(src))
	c.Assert(problems, qt.HasLen, 0)
	nodes := runPair(c, cfg)
	for len(nodes[0].homes("larder")) < 2 || len(nodes[1].homes("larder")) < 2 {
		time.Sleep(10 * time.Millisecond)
	}
	home := nodes[0].homes("larder")[0].Name()
	for _, n := range nodes {
		desc := "at=entry"
		if n.settings.Name == home {
			desc = "at=home"
		}
		url := "http://" + n.CallerAddress().String() + "/stock"
		get(c, url)
		b.Run(desc, func(b *testing.B) { benchmarkGet(b, url) })
	}
	b.Run("at=target", func(b *testing.B) { benchmarkGet(b, t.URL+"/stock") })
}

// benchClient keeps a connection open for each concurrent request.
var benchClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1 << 10}}

// benchWorkers is the number of concurrent requests for each processor.
const benchWorkers = 4

func benchmarkGet(b *testing.B, url string) {
	c := qt.New(b)
	before := processorTime(c)
	b.SetParallelism(benchWorkers)
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			get(c, url)
		}
	})
	b.ReportMetric(float64((processorTime(c)-before).Microseconds())/float64(b.N), "cpu-us/op")
}

func get(c *qt.C, url string) {
	resp, err := benchClient.Get(url)
	c.Check(err, qt.IsNil)
	if err != nil {
		return
	}
	_, err = io.Copy(io.Discard, resp.Body)
	c.Check(err, qt.IsNil)
	c.Check(resp.Body.Close(), qt.IsNil)
	c.Check(resp.StatusCode, qt.Equals, http.StatusOK)
}

// processorTime returns the user and system time that this process has used so
// far.
func processorTime(c *qt.C) time.Duration {
	var u syscall.Rusage
	c.Assert(syscall.Getrusage(syscall.RUSAGE_SELF, &u), qt.IsNil)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkIdleConnection reports the memory that a node uses for a caller or
// peer that keeps a connection open after a request. The figure includes the
// caller's end, a bare connection in the same process.
func BenchmarkIdleConnection(b *testing.B) {
	c := qt.New(b)
	cfg, problems := dynamic.Parse("test.ini", []byte("[service larder]\n"))
	c.Assert(problems, qt.HasLen, 0)
	node := runPair(c, cfg)[0]
	for _, n := range []int{200, 800, 3200} {
		b.Run(fmt.Sprintf("connections=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := memoryInUse()
				conns := idleConnections(qt.New(b), node.CallerAddress().String(), n)
				b.ReportMetric((memoryInUse()-before)/float64(n), "B/connection")
				for _, conn := range conns {
					_ = conn.Close()
				}
			}
		})
	}
}

// idleConnections opens connections and sends one request on each.
func idleConnections(c *qt.C, addr string, n int) []net.Conn {
	answer := make([]byte, 1<<10)
	conns := make([]net.Conn, n)
	for i := range conns {
		var err error
		conns[i], err = net.Dial("tcp", addr)
		c.Assert(err, qt.IsNil)
		_, err = io.WriteString(conns[i], "GET /none HTTP/1.1\r\nHost: gate\r\n\r\n")
		c.Assert(err, qt.IsNil)
		_, err = conns[i].Read(answer)
		c.Assert(err, qt.IsNil)
	}
	return conns
}

// memoryInUse returns the bytes of the heap and the stacks in use after a garbage
// collection.
func memoryInUse() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
