package fault_test

import (
	"bufio"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cyclamenrelay.example/fault"
	"cyclamenrelay.example/units"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// echoUDP answers each packet with itself.
func echoUDP(t *testing.T) string {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	go func() {
		b := make([]byte, 2048)
		for {
			n, from, err := c.ReadFrom(b)
			if err != nil {
				return
			}
			_, _ = c.WriteTo(b[:n], from)
		}
	}()
	return c.LocalAddr().String()
}

func echoTCP(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for {
					s, err := r.ReadString('\n')
					if err != nil {
						return
					}
					_, _ = c.Write([]byte(s))
				}
			}()
		}
	}()
	return ln.Addr().String()
}

func openRelay(t *testing.T, network, to string, rules fault.Rules) (*fault.Relay, net.Conn) {
	r, err := fault.New([]fault.Link{{Name: "a", Network: network, Listen: "127.0.0.1:0", To: to, Rules: rules}}, clockwork.NewRealClock(), 1)
	assert.NilError(t, err)
	t.Cleanup(r.Close)
	c, err := net.Dial(network, r.Addr("a").String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return r, c
}

func receive(t *testing.T, c net.Conn, wait time.Duration) string {
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(wait)))
	b := make([]byte, 2048)
	n, err := c.Read(b)
	if err != nil {
		return ""
	}
	return string(b[:n])
}

const (
	answerTimeout  = 5 * time.Second
	silenceTimeout = 50 * time.Millisecond
)

func TestUDPFaults(t *testing.T) {
	r, c := openRelay(t, "udp", echoUDP(t), fault.Rules{Forward: fault.Rule{Duplicate: 1}})
	send := func(s string) { _, err := c.Write([]byte(s)); assert.NilError(t, err) }
	send("a")
	assert.Equal(t, receive(t, c, answerTimeout)+receive(t, c, answerTimeout), "aa")
	assert.NilError(t, r.SetRules("a", fault.Rules{Backward: fault.Rule{Cut: true}}))
	send("b")
	assert.Equal(t, receive(t, c, silenceTimeout), "")
	assert.NilError(t, r.SetRules("a", fault.Rules{Forward: fault.Rule{Freeze: true}}))
	send("c")
	assert.Equal(t, receive(t, c, silenceTimeout), "")
	assert.NilError(t, r.SetRules("a", fault.Rules{}))
	assert.Equal(t, receive(t, c, answerTimeout), "c")
	assert.NilError(t, r.SetRules("a", fault.Rules{Forward: fault.Rule{Loss: 1}}))
	send("d")
	assert.Equal(t, receive(t, c, silenceTimeout), "")
	assert.NilError(t, r.SetRules("a", fault.Rules{Forward: fault.Rule{Reorder: 1, Delay: units.Duration(time.Millisecond)}}))
	send("e")
	assert.Equal(t, receive(t, c, answerTimeout), "e")
}

func TestSourceRulesCutOneClient(t *testing.T) {
	r, a := openRelay(t, "udp", echoUDP(t), fault.Rules{})
	b, err := net.Dial("udp", r.Addr("a").String())
	assert.NilError(t, err)
	defer func() { _ = b.Close() }()
	cut := fault.Rules{Forward: fault.Rule{Cut: true}, Backward: fault.Rule{Cut: true}}
	source := a.LocalAddr().String()
	assert.NilError(t, r.SetSourceRules("a", source, cut))
	echo := func(c net.Conn, wait time.Duration) string {
		_, err := c.Write([]byte("x"))
		assert.NilError(t, err)
		return receive(t, c, wait)
	}
	assert.Equal(t, echo(a, silenceTimeout), "")
	assert.Equal(t, echo(b, answerTimeout), "x")
	assert.NilError(t, r.ClearSourceRules("a", source))
	assert.Equal(t, echo(a, answerTimeout), "x")
	bad := fault.Rules{Backward: fault.Rule{Loss: 2}}
	assert.ErrorContains(t, r.SetSourceRules("a", source, bad), "loss")
	assert.ErrorContains(t, r.SetSourceRules("b", source, cut), "unknown")
	assert.ErrorContains(t, r.ClearSourceRules("b", source), "unknown")
}

func TestTCPCutHoldsDataUntilCleared(t *testing.T) {
	r, c := openRelay(t, "tcp", echoTCP(t), fault.Rules{})
	send := func(s string) { _, err := c.Write([]byte(s)); assert.NilError(t, err) }
	send("a\n")
	assert.Equal(t, receive(t, c, answerTimeout), "a\n")
	assert.NilError(t, r.SetRules("a", fault.Rules{Forward: fault.Rule{Cut: true}}))
	send("b\n")
	assert.Equal(t, receive(t, c, silenceTimeout), "")
	assert.NilError(t, r.SetRules("a", fault.Rules{}))
	assert.Equal(t, receive(t, c, answerTimeout), "b\n")
}

func TestControlRefusesBadRules(t *testing.T) {
	r, _ := openRelay(t, "udp", echoUDP(t), fault.Rules{})
	srv := httptest.NewServer(r.Handler())
	defer srv.Close()
	for body, want := range map[string]int{
		`{"forward":{"delay":"1ms"}}`: 204, `{"forward":{"loss":2}}`: 400, `{"sideways":{}}`: 400,
	} {
		req, err := http.NewRequest("PUT", srv.URL+"/v1/links/a", strings.NewReader(body))
		assert.NilError(t, err)
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		_ = resp.Body.Close()
		assert.Equal(t, resp.StatusCode, want, body)
	}
}

func TestReadLinks(t *testing.T) {
	links, err := fault.ReadLinks(strings.NewReader(`{"links":[{"name":"a","network":"udp","listen":"127.0.0.1:0","to":"127.0.0.1:1","forward":{"delay":"1.5ms"}}]}`))
	assert.NilError(t, err)
	assert.Equal(t, links[0].Forward.Delay.Std(), 1500*time.Microsecond)
	_, err = fault.New([]fault.Link{{Name: "a", Network: "sctp"}}, clockwork.NewRealClock(), 1)
	assert.ErrorContains(t, err, "sctp")
}
