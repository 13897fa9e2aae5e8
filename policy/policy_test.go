package policy_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/policy"
)

func document() policy.Document {
	return policy.Document{
		Number: 3,
		Pools:  []policy.Pool{{Name: "p"}},
		Queues: []policy.Queue{
			{Name: "a", Host: "x.example", Prefix: "/a/", Pool: "p", Timeout: time.Second},
			{Name: "ab", Host: "x.example", Prefix: "/a/b/", Pool: "p", Timeout: time.Second},
			{Name: "y", Host: "y.example", Prefix: "/a/", Pool: "p", Timeout: time.Second},
		},
	}
}

func TestLongestPrefixWins(t *testing.T) {
	table := policy.NewTable(document())
	for _, c := range []struct{ host, path, queue, rest string }{
		{"x.example", "/a/1", "a", "1"},
		{"X.example:80", "/a/b/1", "ab", "1"},
		{"y.example", "/a/b/1", "y", "b/1"},
		{"x.example", "/a/", "a", ""},
		{"x.example", "/b/1", "", ""},
		{"z.example", "/a/1", "", ""},
	} {
		q, rest, ok := table.Find(c.host, c.path)
		assert.Equal(t, ok, c.queue != "", c.path)
		assert.Equal(t, q.Name, c.queue)
		assert.Equal(t, rest, c.rest)
	}
	_, _, ok := policy.Table{}.Find("x.example", "/a/1")
	assert.Assert(t, !ok)
}

func TestInvalidDocuments(t *testing.T) {
	assert.NilError(t, document().Check())
	for name, invalidate := range map[string]func(*policy.Document){
		"unknown pool":         func(d *policy.Document) { d.Queues[1].Pool = "q" },
		"same host and prefix": func(d *policy.Document) { d.Queues[1].Prefix = "/a/" },
		"same host in another case, same prefix": func(d *policy.Document) {
			d.Queues[1].Prefix, d.Queues[1].Host = "/a/", "X.Example"
		},
		"no timeout":          func(d *policy.Document) { d.Queues[2].Timeout = 0 },
		"no host":             func(d *policy.Document) { d.Queues[0].Host = "" },
		"no prefix":           func(d *policy.Document) { d.Queues[0].Prefix = "" },
		"duplicate pool":      func(d *policy.Document) { d.Pools = append(d.Pools, policy.Pool{Name: "p"}) },
		"pool without a name": func(d *policy.Document) { d.Pools = append(d.Pools, policy.Pool{}) },
	} {
		d := document()
		invalidate(&d)
		assert.ErrorContains(t, d.Check(), "", name)
	}
}

func TestObjective(t *testing.T) {
	q := policy.Queue{Stretch: 1.5, Slack: 60 * time.Millisecond}
	assert.Equal(t, q.Objective(100*time.Millisecond), 210*time.Millisecond)
}
