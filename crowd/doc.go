// Package crowd holds tests of real processes beside clients that keep to no limits. Each
// test checks that a process lives, that its memory and descriptors stay under a bound, and
// that it answers an ordinary request afterwards.
package crowd
