package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

func init() {
	cases["drain-other-writer"], shapes["drain-other-writer"] = drainOtherWriter, [3]int{3, 3, 3}
	cases["route-new-kind"], shapes["route-new-kind"] = routeNewKind, [3]int{3, 3, 3}
}

// load sends a job each interval, to the frontends in turn, until ctx ends.
func (e *env) load(ctx context.Context, interval time.Duration, body m) {
	t := &http.Transport{MaxIdleConnsPerHost: 100}
	defer t.CloseIdleConnections()
	var n, completed atomic.Int64
	b, _ := json.Marshal(body)
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			e.rec.add("clients: %d jobs sent, %d completed", n.Load(), completed.Load())
			return
		case <-tick.C:
		}
		n.Add(1)
		go func() {
			cctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
			defer cancel()
			r, _ := http.NewRequestWithContext(cctx, "POST", "http://"+e.fronts[i%len(e.fronts)].addr(callerPort)+prefix+newID(), strings.NewReader(string(b)))
			r.Host = hostName
			r.Header.Set("X-Cyclamenrelay-Deadline-Milliseconds", "1500")
			a, err := t.RoundTrip(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, a.Body)
			_ = a.Body.Close()
			if a.StatusCode == http.StatusOK {
				completed.Add(1)
			}
		}()
	}
}

// drainOtherWriter sends one heartbeat of another writer, in which fields are missing, for an
// executor that drains later.
func drainOtherWriter(e *env) error {
	xs := e.executors()
	for _, x := range xs {
		x.cpu = 3000 // the load needs all executors
	}
	if err := e.begin(xs...); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go e.load(ctx, 25*time.Millisecond, job(60, 500, step(3, 500, 60, nil)))
	time.Sleep(time.Second)
	x := xs[0]
	if e.trouble {
		// No zone, version, slots, cold_remaining_ms and born.
		odd := fmt.Sprintf(`{"service":%q,"address":%q,"state":"ready","capacity":{"cpu":%d,"task_memory_mb":65536,"gpu":0},"labels":["a","r1"],"clock_ms":1,"sequence":900000}`,
			service, x.side.addr(appPort), x.cpu)
		r, err := beatClient.Post("http://"+x.side.addr(controlPort)+"/api/instances/"+x.id+"/heartbeat", "application/json", strings.NewReader(odd))
		if err != nil {
			return err
		}
		_ = r.Body.Close()
		e.rec.add("another writer: heartbeat for %s: status %d", x.id, r.StatusCode)
	}
	time.Sleep(4 * time.Second)
	x.mu.Lock()
	x.state = "draining"
	x.mu.Unlock()
	var acked time.Time
	for range 20 {
		if x.beat() {
			acked = time.Now()
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	if acked.IsZero() {
		return fmt.Errorf("no heartbeat of the draining executor was acknowledged")
	}
	e.rec.add("executor %s: draining, acknowledged", x.id)
	time.Sleep(6 * time.Second)
	stop()
	begins, _ := e.jr.all()
	late, last := 0, begin{}
	for _, b := range begins {
		if b.executor == x.id && b.at.Sub(acked) > drainMS*time.Millisecond {
			late, last = late+1, b
		}
	}
	if late > 0 {
		return broken{fmt.Sprintf("DRAIN: %d starts at %s, the last one %.1f s after the acknowledgement that it is draining", late, x.id, last.at.Sub(acked).Seconds())}
	}
	return nil
}

// routeNewKind freezes a side machine; its executor crashes meanwhile and starts again under the
// same ID, as another kind.
func routeNewKind(e *env) error {
	xs := e.executors()
	for i, x := range xs {
		x.labels = []string{string(rune('a' + i)), fmt.Sprintf("r%d", i+1)}
	}
	if err := e.begin(xs...); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go e.load(ctx, 5*time.Millisecond, job(30, 500, step(1, 500, 30, m{"requirements": "a"})))
	time.Sleep(time.Second)
	x := xs[0]
	freeze := e.trouble && os.Getenv("TROUBLE") != "crash"
	for range 6 {
		if !e.trouble {
			time.Sleep(7 * time.Second)
			continue
		}
		if freeze {
			e.signal(x.side, syscall.SIGSTOP)
		}
		time.Sleep(300 * time.Millisecond)
		x.crash()
		time.Sleep(2500 * time.Millisecond)
		if x.labels[0] == "a" {
			x.labels = []string{"b", "r1"}
		} else {
			x.labels = []string{"a", "r1"}
		}
		if err := x.start(); err != nil {
			return err
		}
		time.Sleep(200 * time.Millisecond)
		if freeze {
			e.signal(x.side, syscall.SIGCONT)
		}
		time.Sleep(4 * time.Second)
	}
	stop()
	time.Sleep(200 * time.Millisecond)
	begins, _ := e.jr.all()
	wrong := 0
	for _, b := range begins {
		if b.labels[0] != "a" {
			wrong++
			e.rec.add("without the label a: %s at %s, labels %v", b.task, b.executor, b.labels)
		}
	}
	if wrong > 0 {
		return broken{fmt.Sprintf("ROUTE: %d starts on executors without the label", wrong)}
	}
	return nil
}
