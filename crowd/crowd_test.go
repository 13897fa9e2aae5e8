package crowd_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// tooLong is a head of about the largest size that net/http allows by default, 1 MB.
	tooLong = 1<<20 - 1024
	// legalHead is a little less than max_header_bytes.
	legalHead = 16_000
	// sendLimit bounds how long a client goes on sending to a process that no longer reads.
	sendLimit = time.Second
	chunk     = 16 << 10
)

// clients are connections that stay open until close.
type clients struct {
	t    *testing.T
	addr string

	mu    sync.Mutex
	conns []net.Conn
}

// run has n clients at once call f with a connection of their own. A client that is refused
// a connection does nothing.
func (c *clients) run(n int, f func(i int, conn net.Conn)) {
	c.each(n, func(i int) {
		if conn := c.dial(); conn != nil {
			f(i, conn)
		}
	})
}

// each calls f n times at once.
func (c *clients) each(n int, f func(i int)) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { f(i) })
	}
	wg.Wait()
}

func (c *clients) dial() net.Conn {
	conn, err := net.DialTimeout("tcp", c.addr, time.Second)
	if err != nil {
		return nil
	}
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	_ = conn.SetDeadline(time.Now().Add(sendLimit))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns = append(c.conns, conn)
	return conn
}

func (c *clients) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// send writes the text in parts, until the process closes the connection or no longer reads.
func send(conn net.Conn, text string) bool {
	for len(text) > 0 {
		n, err := conn.Write([]byte(text[:min(chunk, len(text))]))
		if err != nil {
			return false
		}
		text = text[n:]
	}
	return true
}

// shortLines returns header lines of four bytes each with different names, n bytes in all.
func shortLines(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for i := 0; b.Len() < n-4; i++ {
		b.WriteByte(letters[i%len(letters)])
		b.WriteByte(letters[i/len(letters)%len(letters)])
		b.WriteString(":\n")
	}
	return b.String()
}

// Header lines whose decoded form takes many times their bytes exhausted the memory, in
// heads over the limit and in legal ones whose requests are still in progress.
func TestShortHeaderLines(t *testing.T) {
	long, legal := shortLines(tooLong), shortLines(legalHead)
	eachPort(t, func(_ *testing.T, p port, c *clients) {
		c.run(60, func(_ int, conn net.Conn) { send(conn, p.get+long+"\r\n") })
		c.run(300, func(_ int, conn net.Conn) { send(conn, p.post+"Content-Length: 1000\r\n"+legal+"\r\n{") })
	})
}

// Malformed heads that are kept for an error message, or read on, occupied memory.
func TestMalformedHeaderLines(t *testing.T) {
	const n = 900_000
	kinds := []string{
		strings.Repeat("nocolon\r\n", n/9),
		strings.Repeat("blank name: 1\r\n", n/15),
		strings.Repeat("Ctl: \x01\x02\r\n", n/9),
		strings.Repeat("Host: a\r\n", n/9),
		strings.Repeat("Content-Length: 1\r\n", n/19),
		strings.Repeat("n", n) + ": 1\r\n",
		"A: 1\r\n" + strings.Repeat(" \r\n", n/3),
		strings.Repeat("n", n) + "\r\n",
	}
	eachPort(t, func(_ *testing.T, p port, c *clients) {
		c.run(160, func(i int, conn net.Conn) { send(conn, p.get+kinds[i%len(kinds)]+"\r\n") })
	})
}

// Heads over the limit were read up to 1 MB each.
func TestHeadOverTheLimit(t *testing.T) {
	value := "Long: " + strings.Repeat("v", 2<<20) + "\r\n"
	eachPort(t, func(_ *testing.T, p port, c *clients) {
		c.run(120, func(_ int, conn net.Conn) { send(conn, p.get+value+"\r\n") })
	})
}

// Heads whose senders never end them were kept until the timeout.
func TestHeadWithoutEnd(t *testing.T) {
	line := "Line: " + strings.Repeat("v", 1000) + "\r\n"
	eachPort(t, func(_ *testing.T, p port, c *clients) {
		c.run(120, func(_ int, conn net.Conn) { send(conn, p.get+strings.Repeat(line, tooLong/len(line))) })
	})
}

// Empty lines in place of a request, which count against no limit, occupied the process.
func TestEmptyLinesBeforeARequest(t *testing.T) {
	lines := strings.Repeat("\r\n", 1<<20)
	eachPort(t, func(_ *testing.T, p port, c *clients) {
		c.run(120, func(i int, conn net.Conn) {
			if i%2 == 0 {
				send(conn, p.post+"Content-Length: 2\r\n\r\n{}")
			}
			send(conn, lines)
		})
	})
}

// Large legal bodies that end at the same time were all in memory at once.
func TestLargeBodies(t *testing.T) {
	eachPort(t, func(_ *testing.T, p port, c *clients) {
		body := p.body(p.maxBody)
		var ready sync.WaitGroup
		ready.Add(p.bodies)
		c.run(p.bodies, func(_ int, conn net.Conn) {
			ok := send(conn, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", p.post, len(body), body[:len(body)-1]))
			ready.Done()
			if ok {
				waitAtMost(&ready, sendLimit)
				send(conn, body[len(body)-1:])
			}
		})
	})
}

func waitAtMost(wg *sync.WaitGroup, d time.Duration) {
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(d):
	}
}

// Large bodies that stop just short of their end stayed in memory as long as their
// connections.
func TestBodiesThatStopShort(t *testing.T) {
	eachPort(t, func(_ *testing.T, p port, c *clients) {
		body := p.body(p.maxBody)
		c.run(p.bodies, func(_ int, conn net.Conn) {
			send(conn, fmt.Sprintf("%sContent-Length: %d\r\n\r\n", p.post, len(body)))
			send(conn, body[:len(body)/2])
			time.Sleep(50 * time.Millisecond)
			send(conn, body[len(body)/2:len(body)-1])
		})
	})
}

// Connections that send nothing took all descriptors.
func TestSilentConnections(t *testing.T) {
	eachPort(t, func(_ *testing.T, p port, c *clients) {
		c.run(machineDescriptors+200, func(int, net.Conn) {})
	})
}

// Answers that nobody reads, each of the size of a configuration at a keeper, stayed in
// memory.
func TestAnswersThatAreNeverRead(t *testing.T) {
	eachPort(t, func(_ *testing.T, p port, c *clients) {
		requests := strings.Repeat(p.get+"\r\n", 2000)
		c.run(300, func(_ int, conn net.Conn) { send(conn, requests) })
	})
}

// Chunks with long extensions, and trailers without end, were read for as long as they came.
func TestChunksWithoutEnd(t *testing.T) {
	extension := "1;" + strings.Repeat("e", 3000) + "\r\na\r\n"
	one := "1\r\na\r\n"
	kinds := []string{
		strings.Repeat(extension, tooLong/len(extension)),
		strings.Repeat(one, tooLong/len(one)),
		"0\r\n" + shortLines(tooLong),
		"1;" + strings.Repeat("e", tooLong),
	}
	eachPort(t, func(_ *testing.T, p port, c *clients) {
		c.run(120, func(i int, conn net.Conn) {
			send(conn, p.post+"Transfer-Encoding: chunked\r\n\r\n")
			send(conn, kinds[i%len(kinds)])
		})
	})
}

// Legal bodies whose decoded form is many times as large as their bytes exhausted the memory.
func TestLargestExpansion(t *testing.T) {
	eachPort(t, func(_ *testing.T, p port, c *clients) {
		body := p.expanding()
		text := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", p.post, len(body), body)
		c.run(p.expansions, func(_ int, conn net.Conn) { send(conn, text) })
	})
}

// The largest legal request of each port is served when there is no other load: limits that
// keep crowds out must not refuse it.
func TestLargestLegalRequest(t *testing.T) {
	d := deploy(t)
	d.start("entry")
	d.start("agent")
	for _, p := range d.ports() {
		calm := d.waitOrdinary(p)
		head := http.Header{}
		for i := range 60 {
			head.Set(fmt.Sprintf("Name-%d", i), strings.Repeat("v", 250))
		}
		ask := func(method string) answer {
			body := p.body(p.maxBody)
			path := strings.Fields(p.post)[1]
			if p.name == "readiness" || p.name == "metrics" {
				body = ""
			}
			return askWith(method, "http://"+p.addr+path, queueHost, body, head)
		}
		switch p.name {
		case "callers", "announcements":
			assert.Equal(t, ask(http.MethodPost), calm, p.name)
		case "operators":
			assert.Equal(t, ask(http.MethodPost), answer{http.StatusBadRequest, `{"error":"the configuration has no version"}`}, p.name)
		default:
			assert.Equal(t, ask(http.MethodGet).status, calm.status, p.name)
		}
	}
}
