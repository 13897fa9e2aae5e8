// Package system holds the tests of the whole system with real processes.
package system
