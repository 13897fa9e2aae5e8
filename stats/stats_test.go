package stats_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cyclamenrelay.example/stats"

	"gotest.tools/v3/assert"
)

// ExampleRunTimes shows the correction of declared run times that are a third of the
// measured ones.
func ExampleRunTimes() {
	var k stats.RunTimes
	for n := range 20 {
		declared := time.Duration(100+10*n) * time.Millisecond
		k.Record(3*declared, declared)
	}
	fmt.Println(k.Estimate(200 * time.Millisecond).Round(time.Millisecond))
	// Output: 600ms
}

// TestUnrelatedDeclaredRunTimes checks that declared run times that are unrelated to the
// measured ones are ignored.
func TestUnrelatedDeclaredRunTimes(t *testing.T) {
	var k stats.RunTimes
	rnd := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		k.Record(time.Duration(90+20*rnd.Float64())*time.Millisecond, time.Duration(1+rnd.IntN(10_000))*time.Millisecond)
	}
	e := k.Estimate(10 * time.Second)
	assert.Assert(t, e > 90*time.Millisecond && e < 110*time.Millisecond, "estimate %v", e)
}

func TestQuantile(t *testing.T) {
	var k stats.RunTimes
	_, ok := k.Quantile(0.5)
	assert.Assert(t, !ok)
	rnd := rand.New(rand.NewPCG(1, 1))
	for range 10_000 {
		k.Record(time.Duration(1000*rnd.Float64())*time.Millisecond, 0)
	}
	for _, q := range []float64{0.1, 0.5, 0.95, 0.99} {
		d, ok := k.Quantile(q)
		ratio := d.Seconds() / q
		assert.Assert(t, ok && ratio > 0.9 && ratio < 1.15, "quantile %.2f is %v", q, d)
	}
}

func TestRetryBudget(t *testing.T) {
	b := stats.NewRetryBudget()
	n := 0
	for b.Spend() {
		n++
	}
	for range 105 {
		b.Earn(0.1)
	}
	for b.Spend() {
		n++
	}
	assert.Equal(t, n, 20)
}
