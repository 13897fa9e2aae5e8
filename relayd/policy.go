package main

import (
	"cyclamenrelay.example/conf"
	"cyclamenrelay.example/fleet"
	"cyclamenrelay.example/share"
)

// Queue lengths of an agent: how many starts may wait for a slot.
const (
	boundedBufferLen   = 16
	unboundedBufferLen = 100_000
)

// policyByName returns the entry's placement policy with the name; an unknown name
// gives IdleFirst.
func policyByName(name string) fleet.Policy {
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

// shareSettings returns the agent's slot-sharing settings that match the entry's
// policy. An agent has no slots until its target announces some.
func shareSettings(name string) share.Settings {
	s := share.DefaultSettings(0)
	switch policyByName(name).(type) {
	case fleet.TwoChoices:
		s.Buffer = boundedBufferLen
	case fleet.Random, fleet.LeastLoaded:
		s.Buffer = unboundedBufferLen
	case fleet.Strict:
		s.Strict = true
	}
	return s
}
