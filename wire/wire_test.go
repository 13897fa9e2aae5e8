package wire_test

import (
	"testing"
	"time"

	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/sched"
	"cyclamenrelay.example/wire"

	"gotest.tools/v3/assert"
)

func TestEncodeDecode(t *testing.T) {
	m := wire.Start{Task: model.Task{ID: "a", Labels: model.Labels{"kind": "match"}, Body: []byte("x")}, Grant: 7}
	b, err := wire.Encode(m)
	assert.NilError(t, err)
	got, err := wire.Decode(b)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, m)
}

func TestDecodeRefusesBadInput(t *testing.T) {
	for _, b := range [][]byte{nil, {0}, {60}, {60, 0xff}, {60, 0x9f}, {255, 1, 2}} {
		_, err := wire.Decode(b)
		assert.Assert(t, err != nil, "input %v", b)
	}
}

func FuzzDecode(f *testing.F) {
	b, _ := wire.Encode(wire.Start{Task: model.Task{ID: "a"}})
	f.Add(b)
	f.Fuzz(func(_ *testing.T, b []byte) {
		m, err := wire.Decode(b)
		if err == nil {
			_, _ = wire.Encode(m)
		}
	})
}

// Guards against a load report that grows on the links between data centres: the forecast
// adds a few bytes, and nothing where there is none.
func TestForecastIsCompact(t *testing.T) {
	use := batch.Resources{CPU: 25_000, Memory: 4000}
	r := wire.LoadReport{
		Agent: "10.1.0.17", Target: "i-23da77c5812f78b7", Pool: "standard", DataCentre: "portland", Open: true, Capacity: use,
		TargetLoad: wire.TargetLoad{
			Incarnation: 1, Seq: 70_000, Used: use, ReceiverUsed: use.Half(), Backlog: sched.Backlog{use, use, use}, CompletionInterval: 20 * time.Millisecond,
		},
	}
	without, err := wire.Encode(r)
	assert.NilError(t, err)
	r.Forecast = sched.Forecast{20, 60, 110, 160, 190}
	with, err := wire.Encode(r)
	assert.NilError(t, err)
	t.Logf("%d bytes, with the forecast %d", len(without), len(with))
	const maxGrowth = 8
	assert.Assert(t, len(with)-len(without) <= maxGrowth)
	m, err := wire.Decode(with)
	assert.NilError(t, err)
	assert.DeepEqual(t, m, r)
}
