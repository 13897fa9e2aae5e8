package main

import (
	"cyclamenrelay.example/conf"
	"cyclamenrelay.example/fleet"
	"cyclamenrelay.example/share"
)

// The starts that wait at an agent for a slot.
const (
	boundedBuffer   = 16
	unboundedBuffer = 100_000
)

// policyOf returns the entry's policy with the name.
func policyOf(name string) fleet.Policy {
	switch name {
	case conf.PolicyTwoChoices:
		return fleet.TwoChoices{}
	case conf.PolicyRandom:
		return fleet.Random{}
	case conf.PolicyLeast:
		return fleet.LeastLoaded{}
	case conf.PolicyStrict:
		return fleet.Strict{}
	}
	return fleet.IdleFirst{}
}

// sharesOf returns the agent's settings that go with the policy. It has no
// slots until its target announces some.
func sharesOf(name string) share.Settings {
	s := share.DefaultSettings(0)
	switch policyOf(name).(type) {
	case fleet.TwoChoices:
		s.Buffer = boundedBuffer
	case fleet.Random, fleet.LeastLoaded:
		s.Buffer = unboundedBuffer
	case fleet.Strict:
		s.Strict = true
	}
	return s
}
