package conf

import (
	"encoding/json"
	"reflect"
	"strconv"
)

// Amount is a whole number that may also be written as a string, since the template of a
// platform may have no value for it. An empty string keeps the default; a fraction is
// rounded down.
type Amount int

// Limits holds the size of the machine that the process may use. Package guard derives
// from it how much clients may occupy.
type Limits struct {
	// Memory is the machine's memory in MB (2^20 bytes), 0 if it is unknown.
	Memory Amount `json:"memory"`
	// Descriptors is the number of files and connections that the process may have open, 0
	// if it is unknown.
	Descriptors Amount `json:"descriptors"`
	// Link is the rate of the machine's link in Mbit/s, 0 if it is unknown.
	Link Number `json:"link"`
}

const (
	minMemory      = 64
	minDescriptors = 256
	maxMemory      = 1 << 20
	maxDescriptors = 1 << 24
	// minLink and maxLink bound the rate of a link in Mbit/s.
	minLink = 0.1
	maxLink = 1e6
)

func (l Limits) check(c *checker) {
	if l.Memory != 0 {
		c.number("limits.memory", int(l.Memory), minMemory, maxMemory)
	}
	if l.Descriptors != 0 {
		c.number("limits.descriptors", int(l.Descriptors), minDescriptors, maxDescriptors)
	}
	c.optional("limits.link", l.Link, minLink, maxLink)
}

// assignAmount sets v, an Amount, to the decoded JSON value, or adds a problem at the path.
func (c *checker) assignAmount(path string, v reflect.Value, value any) {
	text := ""
	switch value := value.(type) {
	case string:
		text = value
		if text == "" {
			return
		}
	case json.Number:
		text = value.String()
	}
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || f < 0 || f > maxDescriptors {
		c.add(path, value, "a number from 0 to "+strconv.Itoa(maxDescriptors))
		return
	}
	v.SetInt(int64(f))
}
