package place_test

import (
	"fmt"
	"testing"
	"time"

	"cyclamenrelay.example/fleet"
)

var policies = []fleet.Policy{fleet.IdleFirst{}, fleet.TwoChoices{}, fleet.Random{}, fleet.LeastLoaded{}, fleet.Strict{}}

// TestCompare prints the policies side by side at four loads; seed 1. The runs
// are short unless the table is asked for with -v.
func TestCompare(t *testing.T) {
	end := 6 * time.Second
	if testing.Verbose() {
		end = 40 * time.Second
	}
	fmt.Println("load policy            p50    p99    p99.9  goodput refused waste asks bounces grants extra (per request)")
	for _, load := range []float64{0.3, 0.7, 0.95, 1.3} {
		for _, p := range policies {
			s := newSim(t, 1, p, kindRules(t, "match", "claim", "tag", "quote"))
			for _, k := range []string{"match", "claim", "tag", "quote"} {
				s.feed(mix{kind: k, rate: load * simCapacity / 4, from: time.Second, to: end})
			}
			s.from = 5 * time.Second
			s.finish(end)
			all := &tally{}
			for _, k := range s.kinds {
				all.sent += k.sent
				all.complete += k.complete
				all.notRun += k.notRun
				all.ratios = append(all.ratios, k.ratios...)
			}
			n := float64(len(s.tasks))
			fmt.Printf("%3.0f%% %-18T %6.3f %6.2f %6.2f  %.3f   %.3f   %.3f %.3f %.3f %.3f %.3f\n",
				load*100, p, rank(all.ratios, 0.5), rank(all.ratios, 0.99), rank(all.ratios, 0.999),
				float64(all.complete)/float64(all.sent), float64(all.notRun)/float64(all.sent), s.waste(),
				float64(s.asks)/n, float64(s.bounces)/n, float64(s.grants)/n, float64(s.extra)/n)
		}
	}
}
