package leader

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/wire"
)

// buildTimeout bounds the wait for the keepers that are asked what they know. One that is down
// delays each request by that much.
const buildTimeout = 150 * time.Millisecond

// processID identifies one process of a node.
type processID struct {
	name        string
	incarnation uint64
}

// CheckEvacuations returns a trace.NotImplemented when a live keeper is of a build that does
// not know evacuations. It would refuse a change that the others apply, so that their states
// would differ. Keepers that do not answer are left out: the request must get through when
// one is down. A keeper is asked until it has answered once.
func (c *Client) CheckEvacuations(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, buildTimeout)
	defer cancel()
	type answer struct {
		from  processID
		knows bool
	}
	answers := make(chan *answer, len(c.Finder.Nodes(keys.Keeper)))
	asked := 0
	for _, n := range c.Finder.Nodes(keys.Keeper) {
		id := processID{n.Name, n.Incarnation}
		if c.knowsEvacuations(id) || asked == cap(answers) {
			continue
		}
		asked++
		c.Node.Go(func() {
			a, err := c.Node.Call(ctx, link.Dest{Address: n.Address, Role: keys.Keeper}, wire.GetKeeperState{})
			s, ok := a.(wire.KeeperState)
			if err != nil || !ok {
				answers <- nil
				return
			}
			answers <- &answer{id, s.Evacuations}
		})
	}
	for range asked {
		select {
		case a := <-answers:
			switch {
			case a == nil:
			case !a.knows:
				return trace.NotImplemented("keeper %s is of a build that does not know evacuations", a.from.name)
			default:
				c.rememberEvacuations(a.from)
			}
		// A call to an address without a connection can outlast its own time-out.
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

func (c *Client) knowsEvacuations(id processID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.builds[id.name]
	return ok && known == id.incarnation
}

func (c *Client) rememberEvacuations(id processID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.builds == nil {
		c.builds = map[string]uint64{}
	}
	c.builds[id.name] = id.incarnation
}
