package keys_test

import (
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"cyclamenrelay.example/keys"

	"github.com/jonboulle/clockwork"
	"github.com/quic-go/quic-go"
	"gotest.tools/v3/assert"
)

const (
	day  = 24 * time.Hour
	year = 365 * day
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// deployment is a CA with a folder of PEM files and a fake clock.
type deployment struct {
	t     *testing.T
	dir   string
	ca    *keys.CA
	clock *clockwork.FakeClock
}

func newDeployment(t *testing.T) deployment {
	ca, err := keys.NewCA("tengri", start, year)
	assert.NilError(t, err)
	d := deployment{t: t, dir: t.TempDir(), ca: ca, clock: clockwork.NewFakeClockAt(start)}
	assert.NilError(t, ca.Write(d.path("ca.pem"), d.path("ca.key")))
	return d
}

func (d deployment) path(name string) string { return filepath.Join(d.dir, name) }

// node issues a certificate that is valid for 30 days and loads it as an identity.
func (d deployment) node(name string, roles ...keys.Role) *keys.Identity {
	p, err := d.ca.Issue(name, roles, d.clock.Now(), 30*day, "127.0.0.1")
	assert.NilError(d.t, err)
	assert.NilError(d.t, p.Write(d.path(name+".pem"), d.path(name+".key")))
	id, err := keys.LoadWithClock(d.clock, d.path("ca.pem"), d.path(name+".pem"), d.path(name+".key"))
	assert.NilError(d.t, err)
	return id
}

// handshake connects a client to a server and returns the peer and the error that
// each of them sees: srv is the server's peer, cli the client's.
func handshake(t *testing.T, server, client *tls.Config) (srv, cli keys.Peer, serr, cerr error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	done := make(chan struct{})
	go func() {
		defer close(done)
		c, err := l.Accept()
		if err != nil {
			serr = err
			return
		}
		s := tls.Server(c, server)
		defer func() { _ = s.Close() }()
		if serr = s.Handshake(); serr == nil {
			srv, serr = keys.PeerOf(s.ConnectionState())
		}
	}()
	c, cerr := tls.Dial("tcp", l.Addr().String(), client)
	if cerr == nil {
		defer func() { _ = c.Close() }()
		cli, cerr = keys.PeerOf(c.ConnectionState())
	}
	<-done
	return srv, cli, serr, cerr
}

func TestMutualHandshake(t *testing.T) {
	d := newDeployment(t)
	k, e := d.node("k1", keys.Keeper), d.node("e1", keys.Entry, keys.Agent)
	srv, cli, serr, cerr := handshake(t, k.ServerConfig(keys.Entry), e.ClientConfigFor("k1", keys.Keeper))
	assert.NilError(t, serr)
	assert.NilError(t, cerr)
	assert.DeepEqual(t, srv, keys.Peer{Name: "e1", Roles: []keys.Role{keys.Entry, keys.Agent}})
	assert.DeepEqual(t, cli, keys.Peer{Name: "k1", Roles: []keys.Role{keys.Keeper}})
}

func TestHandshakeRefusals(t *testing.T) {
	d, other := newDeployment(t), newDeployment(t)
	k, a, op := d.node("k1", keys.Keeper), d.node("a1", keys.Agent), d.node("aru", keys.Operator)
	e, stranger := d.node("e1", keys.Entry), other.node("e1", keys.Entry)
	for name, c := range map[string]struct{ server, client *tls.Config }{
		"client of another CA":       {k.ServerConfig(), stranger.ClientConfig()},
		"server of another CA":       {stranger.ServerConfig(), e.ClientConfig()},
		"agent dialling as a keeper": {k.ServerConfig(keys.Keeper), a.ClientConfig()},
		"agent answering for keeper": {a.ServerConfig(), e.ClientConfig(keys.Keeper)},
		"keeper of another name":     {k.ServerConfig(), e.ClientConfigFor("k2", keys.Keeper)},
		"operator on a link":         {k.ServerConfig(), op.ClientConfig()},
		"agent as an operator":       {e.OperatorServerConfig(), a.OperatorClientConfig()},
		"operators' page of agent":   {a.OperatorServerConfig(), op.OperatorClientConfig()},
	} {
		_, _, serr, cerr := handshake(t, c.server, c.client)
		assert.Assert(t, serr != nil || cerr != nil, name)
	}
	_, _, serr, cerr := handshake(t, e.OperatorServerConfig(), op.OperatorClientConfig())
	assert.NilError(t, serr)
	assert.NilError(t, cerr)
}

func TestExpiredThenRenewed(t *testing.T) {
	d := newDeployment(t)
	k, e := d.node("k1", keys.Keeper), d.node("e1", keys.Entry)
	server, client := k.ServerConfig(), e.ClientConfig()
	d.clock.Advance(31 * day)
	_, _, serr, cerr := handshake(t, server, client)
	assert.Assert(t, serr != nil && cerr != nil)
	assert.ErrorContains(t, e.Reload(), "expired")

	for _, name := range []string{"k1", "e1"} {
		p, err := d.ca.Renew(d.path(name+".pem"), d.clock.Now(), 30*day)
		assert.NilError(t, err)
		assert.NilError(t, p.Write(d.path(name+".pem"), d.path(name+".key")))
	}
	_, err := newDeployment(t).ca.Renew(d.path("k1.pem"), d.clock.Now(), day)
	assert.ErrorContains(t, err, "not signed")
	assert.NilError(t, k.Reload())
	assert.NilError(t, e.Reload())
	_, _, serr, cerr = handshake(t, server, client)
	assert.NilError(t, serr)
	assert.NilError(t, cerr)
	assert.Equal(t, e.NotAfter(), d.clock.Now().Add(30*day))
}

func TestHandshakeOverQUIC(t *testing.T) {
	d := newDeployment(t)
	k, e := d.node("k1", keys.Keeper), d.node("e1", keys.Entry)
	l, err := quic.ListenAddr("127.0.0.1:0", k.ServerConfig(keys.Entry), nil)
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	for role, ok := range map[keys.Role]bool{keys.Keeper: true, keys.Agent: false} {
		c, err := quic.DialAddr(t.Context(), l.Addr().String(), e.ClientConfig(role), nil)
		assert.Equal(t, err == nil, ok, "role %s", role)
		if err == nil {
			p, err := keys.PeerOf(c.ConnectionState().TLS)
			assert.NilError(t, err)
			assert.Equal(t, p.Name, "k1")
		}
	}
}

func TestFailedReloadKeepsIdentity(t *testing.T) {
	d := newDeployment(t)
	k, e := d.node("k1", keys.Keeper), d.node("e1", keys.Entry)
	assert.NilError(t, os.WriteFile(d.path("e1.pem"), []byte("torn"), 0o600))
	assert.Assert(t, e.Reload() != nil)
	_, _, serr, cerr := handshake(t, k.ServerConfig(), e.ClientConfig())
	assert.NilError(t, serr)
	assert.NilError(t, cerr)
	assert.Equal(t, e.Self().Name, "e1")
}

func TestKeyFiles(t *testing.T) {
	d := newDeployment(t)
	d.node("k1", keys.Keeper)
	for _, f := range []string{"ca.key", "k1.key"} {
		info, err := os.Stat(d.path(f))
		assert.NilError(t, err)
		assert.Equal(t, info.Mode().Perm(), os.FileMode(0o600))
	}
	assert.ErrorContains(t, d.ca.Write(d.path("ca.pem"), d.path("ca.key")), "exists")
	ca, err := keys.LoadCA(d.path("ca.pem"), d.path("ca.key"))
	assert.NilError(t, err)
	assert.Equal(t, ca.Name(), "tengri")
	_, err = keys.LoadCA(d.path("k1.pem"), d.path("k1.key"))
	assert.ErrorContains(t, err, "not a CA")
	assert.NilError(t, os.Chmod(d.path("k1.key"), 0o640))
	_, err = keys.LoadWithClock(d.clock, d.path("ca.pem"), d.path("k1.pem"), d.path("k1.key"))
	assert.ErrorContains(t, err, "0640")
}

func TestInvalidSubjects(t *testing.T) {
	d := newDeployment(t)
	for name, roles := range map[string][]keys.Role{
		"":        {keys.Agent},
		"a/b":     {keys.Agent},
		"none":    nil,
		"unknown": {"root"},
		"both":    {keys.Agent, keys.Operator},
	} {
		_, err := d.ca.Issue(name, roles, start, day)
		assert.Assert(t, err != nil, "name %q", name)
	}
}

// Ephemeral identities accept the name and roles that a peer states, and are accepted
// by ephemeral identities only.
func TestEphemeralIdentities(t *testing.T) {
	clock := clockwork.NewRealClock()
	server, err := keys.NewEphemeral(clock, "10.0.0.1", []keys.Role{keys.Keeper})
	assert.NilError(t, err)
	client, err := keys.NewEphemeral(clock, "10.0.0.2", []keys.Role{keys.Agent})
	assert.NilError(t, err)
	srv, cli, serr, cerr := handshake(t, server.ServerConfig(), client.ClientConfig(keys.Keeper))
	assert.NilError(t, serr)
	assert.NilError(t, cerr)
	assert.Equal(t, cli.Name, "10.0.0.1")
	assert.DeepEqual(t, srv, keys.Peer{Name: "10.0.0.2", Roles: []keys.Role{keys.Agent}})
	_, _, _, cerr = handshake(t, server.ServerConfig(), client.ClientConfig(keys.Entry))
	assert.ErrorContains(t, cerr, "roles")
	signed := newDeployment(t).node("e1", keys.Entry)
	_, _, serr, _ = handshake(t, signed.ServerConfig(), client.ClientConfig())
	assert.ErrorContains(t, serr, "certificate")
	again, err := keys.NewEphemeral(clock, "10.0.0.1", []keys.Role{keys.Keeper})
	assert.NilError(t, err)
	assert.Equal(t, server.ResetKey(), again.ResetKey(), "a restarted node could not reset its peers' old connections")
	assert.NilError(t, again.Reload())
	_, err = keys.NewEphemeral(clock, "no name!", []keys.Role{keys.Keeper})
	assert.ErrorContains(t, err, "")
}
