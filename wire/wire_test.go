package wire_test

import (
	"testing"

	"cyclamenrelay.example/model"
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
