package model

import (
	"cmp"
	"math"
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

// WeightedRendezvous returns the items ordered as Rendezvous does, except that an item is
// the first one of a fraction of all keys that is proportional to its weight, which must be
// above 0. With equal weights the order is that of Rendezvous.
func WeightedRendezvous[T any](key string, items []T, name func(T) string, weight func(T) float64) []T {
	out := Rendezvous(key, items, name)
	if !slices.ContainsFunc(out, func(t T) bool { return weight(t) != weight(out[0]) }) {
		return out
	}
	const bits = 53 // of the fraction of a float64
	scores := make(map[string]float64, len(out))
	for _, t := range out {
		hash := xxhash.Sum64String(key + "\x00" + name(t))
		u := (float64(hash>>(64-bits)) + 0.5) / (1 << bits)
		scores[name(t)] = -weight(t) / math.Log(u)
	}
	slices.SortStableFunc(out, func(a, b T) int { return cmp.Compare(scores[name(b)], scores[name(a)]) })
	return out
}
