package model

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rendezvous returns the items ordered by the hash of key and their names, so
// that each key has its own order, which changes little when items come and go.
func Rendezvous[T any](key string, items []T, name func(T) string) []T {
	out := slices.Clone(items)
	score := func(t T) uint64 { return xxhash.Sum64String(key + "\x00" + name(t)) }
	slices.SortFunc(out, func(a, b T) int { return cmp.Compare(score(b), score(a)) })
	return out
}
