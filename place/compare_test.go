package place_test

import (
	"fmt"
	"testing"
	"time"

	"cyclamenrelay.example/fleet"
	"cyclamenrelay.example/model"
)

var policies = []fleet.Policy{fleet.IdleFirst{}, fleet.TwoChoices{}, fleet.Random{}, fleet.LeastLoaded{}, fleet.Strict{}}

// TestCompare prints a table of the policies at four loads, with seed 1. The
// simulated time is short unless the test runs with -v.
func TestCompare(t *testing.T) {
	end := 6 * time.Second
	if testing.Verbose() {
		end = 40 * time.Second
	}
	fmt.Println("load policy            p50    p99    p99.9  goodput refused waste asks bounces grants extra (per request)")
	for _, load := range []float64{0.3, 0.7, 0.95, 1.3} {
		for _, p := range policies {
			s := newSim(t, 1, p, kindRules(t, kinds...))
			for _, k := range kinds {
				s.addStream(stream{kind: k, rate: load * simCapacity / 4, from: time.Second, to: end})
			}
			s.tallyFrom = 5 * time.Second
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
				load*100, p, quantile(all.ratios, 0.5), quantile(all.ratios, 0.99), quantile(all.ratios, 0.999),
				float64(all.complete)/float64(all.sent), float64(all.notRun)/float64(all.sent), s.waste(),
				float64(s.demands)/n, float64(s.refusals)/n, float64(s.grants)/n, float64(s.extraStarts)/n)
		}
	}
}

// TestCompareFlood prints, for each policy, the goodput of four kinds of work at
// 15 % of the capacity each while a fifth kind arrives at ten times the capacity.
// The seed is 3.
func TestCompareFlood(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("a table, printed with -v")
	}
	fmt.Println("urgency policy         victims' goodput  p50    p99    flood complete")
	for _, urgency := range []int{0, model.MaxUrgency} {
		for _, p := range policies {
			s := flood(t, 3, p, urgency, 10)
			all := &tally{}
			for _, k := range kinds {
				all.sent += s.kinds[k].sent
				all.complete += s.kinds[k].complete
				all.ratios = append(all.ratios, s.kinds[k].ratios...)
			}
			fmt.Printf("%d %-22T %.3f            %6.2f %6.2f %d\n", urgency, p, float64(all.complete)/float64(all.sent),
				quantile(all.ratios, 0.5), quantile(all.ratios, 0.99), s.kinds["flood"].complete)
		}
	}
}
