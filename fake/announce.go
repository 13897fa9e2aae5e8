package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"cyclamenrelay.example/model"
	"cyclamenrelay.example/units"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

const (
	renewalsPerLease = 3
	announceTimeout  = time.Second
)

// Run serves on l and renews the target's announcement at its agent until ctx
// ends. Then it refuses new tasks, waits for those in progress, withdraws the
// announcement (before the wait with LeaveFirst) and returns.
func (t *Target) Run(ctx context.Context, l net.Listener) error {
	srv := &http.Server{Handler: t.Handler(), ReadHeaderTimeout: 10 * time.Second}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(&limitedListener{Listener: l, free: t.cfg.Conns}) }()
	announcing, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	wg.Go(func() { t.renewAnnouncement(announcing) })
	defer wg.Wait()
	defer stop()
	select {
	case err := <-served:
		return trace.Wrap(err)
	case <-ctx.Done():
	}
	drained := t.Leave()
	if t.cfg.LeaveFirst {
		stop()
		wg.Wait()
		t.withdrawAnnouncement()
		<-drained
	} else {
		<-drained
		stop()
		wg.Wait()
		t.withdrawAnnouncement()
	}
	return trace.Wrap(srv.Shutdown(context.WithoutCancel(ctx)))
}

// renewAnnouncement sends the announcement renewalsPerLease times a lease until
// ctx ends, except while the target is frozen.
func (t *Target) renewAnnouncement(ctx context.Context) {
	if t.cfg.Agent == "" {
		return
	}
	tick := t.clock.NewTicker(t.cfg.Lease / renewalsPerLease)
	defer tick.Stop()
	for {
		select {
		case <-t.unfrozenChan():
			t.sendAnnouncement(ctx)
		default:
		}
		select {
		case <-tick.Chan():
		case <-ctx.Done():
			return
		}
	}
}

func (t *Target) sendAnnouncement(ctx context.Context) {
	b, err := json.Marshal(struct {
		Name       string         `json:"name"`
		URL        string         `json:"url"`
		DataCentre string         `json:"dataCentre"`
		Labels     model.Labels   `json:"labels"`
		Slots      int            `json:"slots"`
		Conns      int            `json:"connections"`
		Lease      units.Duration `json:"lease"`
	}{t.cfg.Name, t.cfg.URL, t.cfg.DataCentre, t.cfg.Labels, t.cfg.Slots, t.cfg.Conns, units.Duration(t.cfg.Lease)})
	if err == nil {
		err = t.callAgent(ctx, http.MethodPut, b)
	}
	if err != nil {
		t.log.Warn("announcement failed", zap.Error(err))
	}
}

func (t *Target) withdrawAnnouncement() {
	if t.cfg.Agent == "" {
		return
	}
	if err := t.callAgent(context.Background(), http.MethodDelete, nil); err != nil {
		t.log.Warn("withdrawal failed", zap.Error(err))
	}
}

func (t *Target) callAgent(ctx context.Context, method string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, t.cfg.Agent+"/v1/target", bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		return trace.BadParameter("agent answered %s", resp.Status)
	}
	return nil
}

// limitedListener closes new connections at once while the limit of open
// connections is reached.
type limitedListener struct {
	net.Listener
	mu   sync.Mutex
	free int
}

// Accept returns the next connection within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.acquire() {
			return &limitedConn{Conn: c, release: sync.OnceFunc(l.release)}, nil
		}
		_ = c.Close()
	}
}

func (l *limitedListener) acquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.free == 0 {
		return false
	}
	l.free--
	return true
}

func (l *limitedListener) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.free++
}

type limitedConn struct {
	net.Conn
	release func()
}

// Close closes the connection and frees its place under the limit.
func (c *limitedConn) Close() error {
	c.release()
	return c.Conn.Close()
}
