package crowd_test

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/quic-go/quic-go"
	"gotest.tools/v3/assert"

	"cyclamenrelay.example/keys"
)

// eachLink runs a crowd at the link of each role, as eachPort does.
func eachLink(t *testing.T, crowd func(t *testing.T, addr string)) {
	d := deploy(t)
	for i, p := range d.ports() {
		if p.name == "readiness" || p.name == "metrics" {
			continue
		}
		t.Run(p.role, func(t *testing.T) {
			d.t = t
			proc := d.start(p.role)
			p = d.ports()[i]
			calm := d.waitOrdinary(p)
			m := d.watchProcess(proc)
			crowd(t, d.addrs[p.role+".link"])
			d.check(m, p, calm)
		})
	}
	d.t = t
}

// Handshakes that are refused or never completed, and datagrams that belong to no
// connection, occupied a node.
func TestLinkHandshakes(t *testing.T) {
	ca, err := keys.NewCA("foreign", time.Now(), time.Hour)
	assert.NilError(t, err)
	pair, err := ca.Issue("agent", []keys.Role{keys.Operator}, time.Now(), time.Hour)
	assert.NilError(t, err)
	cert, err := tls.X509KeyPair(pair.Cert, pair.Key)
	assert.NilError(t, err)
	own, err := keys.NewEphemeral(clockwork.NewRealClock(), "x", []keys.Role{keys.Agent})
	assert.NilError(t, err)
	protocols := own.ServerConfig().NextProtos
	rnd := rand.New(rand.NewPCG(1, 2))
	eachLink(t, func(_ *testing.T, addr string) {
		to, err := net.ResolveUDPAddr("udp", addr)
		assert.NilError(t, err)
		c := &clients{addr: addr}
		noise, err := net.DialUDP("udp", nil, to)
		assert.NilError(t, err)
		defer func() { _ = noise.Close() }()
		b := make([]byte, 1200)
		for range 20_000 {
			for i := range b {
				b[i] = byte(rnd.Uint32())
			}
			copy(b, []byte{0xc0 | b[0]&0x3f, 0, 0, 0, 1, 8})
			_, _ = noise.Write(b)
		}
		c.each(300, func(i int) {
			conf := &tls.Config{InsecureSkipVerify: true, NextProtos: protocols, MinVersion: tls.VersionTLS13}
			limit := time.Second
			switch i % 3 {
			case 0:
				conf.Certificates = []tls.Certificate{cert}
			case 1:
				limit = time.Millisecond // leaves the handshake half-way
			}
			ctx, cancel := context.WithTimeout(context.Background(), limit)
			defer cancel()
			_, _ = quic.DialAddr(ctx, addr, conf, nil)
		})
	})
}

// A stranger whose certificate is accepted, as all are between self-signed nodes, sent parts
// of many large messages, which were kept until the time-out.
func TestLinkMessagesWithoutEnd(t *testing.T) {
	eachLink(t, func(t *testing.T, addr string) {
		part := make([]byte, 1<<20)
		c := &clients{addr: addr}
		end := make(chan struct{})
		defer close(end)
		c.each(12, func(int) {
			id, err := keys.NewEphemeral(clockwork.NewRealClock(), "stranger", []keys.Role{keys.Agent})
			assert.Check(t, err)
			ctx, cancel := context.WithTimeout(context.Background(), sendLimit)
			defer cancel()
			conn, err := quic.DialAddr(ctx, addr, id.ClientConfig(), nil)
			if err != nil {
				return
			}
			go func() {
				<-end
				_ = conn.CloseWithError(0, "")
			}()
			for range 24 {
				s, err := conn.OpenStreamSync(ctx)
				if err != nil {
					return
				}
				_ = s.SetWriteDeadline(time.Now().Add(sendLimit))
				go func() { _, _ = s.Write(part) }()
			}
			<-ctx.Done()
		})
	})
}
