package model

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rendezvous returns the items ordered by the hash of key and their names
// (rendezvous hashing): each key has its own order, and the other items keep
// theirs when one is added or removed.
func Rendezvous[T any](key string, items []T, name func(T) string) []T {
	out := slices.Clone(items)
	score := func(t T) uint64 { return xxhash.Sum64String(key + "\x00" + name(t)) }
	slices.SortFunc(out, func(a, b T) int { return cmp.Compare(score(b), score(a)) })
	return out
}
