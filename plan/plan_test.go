package plan_test

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cyclamenrelay.example/plan"

	"gotest.tools/v3/assert"
)

const smallPlan = `{"name":"p","seed":7,"slots":10,"networkTime":"6ms","load":0.5,"kinds":[
 {"name":"a","share":3,"runTime":{"min":"100ms","max":"300ms"},"declared":8,"answerBytes":100},
 {"name":"b","share":1,"runTime":{"min":"200ms","max":"200ms"}}],
 "phases":[{"name":"x","length":"100s","load":1},{"name":"y","length":"10s","load":0,"flood":{"b":2},"burstEvery":"1s"}]}`

func readPlan(t *testing.T, text string) plan.Plan {
	p, err := plan.Read(strings.NewReader(text))
	assert.NilError(t, err)
	return p
}

func allArrivals(p plan.Plan) []plan.Arrival {
	var out []plan.Arrival
	s := plan.NewSource(p, "r")
	for a, ok := s.Next(); ok; a, ok = s.Next() {
		out = append(out, a)
	}
	return out
}

func TestArrivalsOfferThePlannedLoad(t *testing.T) {
	arrivals := allArrivals(readPlan(t, smallPlan))
	assert.DeepEqual(t, arrivals, allArrivals(readPlan(t, smallPlan)))
	var steady, flood time.Duration
	last := time.Duration(0)
	for _, a := range arrivals {
		assert.Assert(t, a.At >= last)
		last = a.At
		if a.At < 100*time.Second {
			steady += a.RunTimes[0]
			if a.Kind.Name == "a" {
				off := float64(a.RunTime) / float64(a.RunTimes[0])
				assert.Assert(t, off > 0.12 && off < 8.01, "declared is off by %v", off)
			}
			continue
		}
		assert.Equal(t, a.Kind.Name, "b")
		assert.Equal(t, a.At%time.Second, time.Duration(0))
		flood += a.RunTimes[0]
	}
	// 10 slots at half load for 100 s, and twice the fleet for 10 s.
	assert.Assert(t, math.Abs(steady.Seconds()/500-1) < 0.1, "steady work is %v", steady)
	assert.Assert(t, math.Abs(flood.Seconds()/200-1) < 0.1, "flood work is %v", flood)
}

func TestReadNamesInvalidField(t *testing.T) {
	for _, c := range [][3]string{
		{`"slots":10`, `"slots":0`, "slots"},
		{`"slots":10`, `"slots":10,"lots":1`, "lots"},
		{`"share":3`, `"share":3,"rate":2`, "share and rate"},
		{`"max":"300ms"`, `"max":"1ms"`, "runTime"},
		{`"declared":8`, `"declared":0.5`, "declared"},
		{`"declared":8`, `"urgency":10`, "urgency"},
		{`"declared":8`, `"selector":"a in"`, "selector"},
		{`"declared":8`, `"tasks":891`, "tasks"},
		{`"name":"b"`, `"name":"a"`, "twice"},
		{`"flood":{"b":2}`, `"flood":{"c":2}`, "flood"},
		{`"length":"10s"`, `"length":"-10s"`, "negative"},
	} {
		_, err := plan.Read(strings.NewReader(strings.Replace(smallPlan, c[0], c[1], 1)))
		assert.ErrorContains(t, err, c[2])
	}
}

func TestShippedPlansAreValid(t *testing.T) {
	files, err := filepath.Glob("../plans/*.json")
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= 8)
	for _, name := range files {
		b, err := os.ReadFile(name)
		assert.NilError(t, err)
		readPlan(t, string(b))
	}
}
