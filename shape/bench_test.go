package shape_test

import (
	"testing"
	"time"

	"cyclamenrelay.example/shape"
)

// BenchmarkAdmit measures what a datagram costs on a link with room.
func BenchmarkAdmit(b *testing.B) {
	l := shape.NewLink(1e12)
	for b.Loop() {
		l.Admit(time.Now(), 1252, false)
	}
}
