package raft_test

import (
	"fmt"
	"testing"
	"time"
)

// profiles are mixes of faults, from an unreliable network to hosts that crash
// and lose their disks.
var profiles = map[string]faults{
	"network": {loss: 0.1, dup: 0.1, partition: 0.004, transfer: 0.002, maxDelay: 30 * time.Millisecond},
	"crashes": {loss: 0.01, dup: 0.01, crash: 0.004, partition: 0.002, maxDelay: 4 * time.Millisecond},
	"repairs": {loss: 0.02, diskLoss: 0.004, removal: 0.004, transfer: 0.004, maxDelay: 4 * time.Millisecond},
	"all": {
		loss: 0.05, dup: 0.05, crash: 0.01, partition: 0.01, diskLoss: 0.003, removal: 0.003, transfer: 0.005,
		maxDelay: 20 * time.Millisecond,
	},
}

const seeds = 12

func TestRandomFaults(t *testing.T) {
	for name, f := range profiles {
		for i := range uint64(2 * seeds) {
			voters := 3 + 2*int(i%2)
			t.Run(fmt.Sprintf("%s/voters=%d/seed=%d", name, voters, i/2), func(t *testing.T) {
				t.Parallel()
				s := newSim(t, i, voters, f)
				s.runWithFaults(30 * time.Second)
				t.Logf("acknowledged %d, committed %d, installed %d, leaders %d, replicas %d",
					s.acked, len(s.committed), s.installs, len(s.leaders), len(s.replicas))
			})
		}
	}
}
