// Package layout assigns the processes of a deployment on one host their names,
// ports and data centres, and generates a settings file for each from a short
// description.
package layout

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strconv"

	"github.com/gravitational/trace"

	"cyclamenrelay.example/conf"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/model"
)

// The labels that the targets of a deployment announce.
const (
	LabelDataCentre = "dataCentre"
	LabelRack       = "rack"
	LabelExecutor   = "executor"
)

// The names of the files that are not settings files.
const (
	SpecFile    = "deployment.json"
	TargetsFile = "targets.json"
)

// Each process has a block of ports. The first is its node port, the constants
// below are offsets of the others.
const (
	portsPerProcess = 10
	portHTTP        = 1 // callers of an entry, or the target of an agent
	portOperators   = 2
	portMetrics     = 3
	portPlatform    = 4
	portTarget      = 5

	maxProcesses = 1000
	targetLease  = "3s"
	jsonIndent   = "  "
)

var loopback = netip.AddrFrom4([4]byte{127, 0, 0, 1})

// Spec describes a deployment on one host.
type Spec struct {
	Name string `json:"name"`
	// Port is the first port; each process takes ten.
	Port int `json:"port"`
	// DataCentres each have a keeper; entries and racks are spread over them.
	DataCentres []string `json:"dataCentres"`
	Entries     int      `json:"entries"`
	// Workers each have an agent and a target; WorkersPerRack of them form a rack.
	Workers        int `json:"workers"`
	WorkersPerRack int `json:"workersPerRack"`
	// Executor is the targets' label of that name; Slots and Connections are per target.
	Executor    string `json:"executor"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}

// Target describes a target to be run on the host of an agent.
type Target struct {
	Name       string       `json:"name"`
	DataCentre string       `json:"dataCentre"`
	Labels     model.Labels `json:"labels"`
	// URL is where the target serves tasks, Agent the agent's URL for its
	// announcements, Platform the URL of its worker's platform.
	URL         string `json:"url"`
	Agent       string `json:"agent"`
	Platform    string `json:"platform"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Lease       string `json:"lease"`
}

// File is a generated file, named relative to the deployment's folder.
type File struct {
	Name string
	Body []byte
}

// ParseSpec reads a description. The error is a trace.BadParameter.
func ParseSpec(b []byte) (Spec, error) {
	var s Spec
	if err := json.Unmarshal(b, &s); err != nil {
		return s, trace.BadParameter("deployment: %v", err)
	}
	ok := keys.ValidName(s.Name) && len(s.DataCentres) > 0 && s.Entries > 0 && s.Workers > 0 &&
		s.WorkersPerRack > 0 && s.Slots > 0 && s.Connections >= s.Slots
	if !ok {
		return s, trace.BadParameter("deployment: name, dataCentres, entries, workers, workersPerRack, slots and connections (at least slots) are required")
	}
	n := len(s.DataCentres) + s.Entries + s.Workers
	if n > maxProcesses || s.Port < 1024 || s.Port+n*portsPerProcess > 1<<16 {
		return s, trace.BadParameter("deployment: no valid ports for %d processes from port %d", n, s.Port)
	}
	return s, nil
}

// process is a process of the deployment; port is the first port of its block.
type process struct {
	name, dataCentre string
	port             int
}

func (p process) address(offset int) string {
	return netip.AddrPortFrom(loopback, uint16(p.port+offset)).String()
}

func (p process) url(offset int) string { return "http://" + p.address(offset) }

// Files returns the settings of all processes and the list of targets.
func (s Spec) Files() ([]File, error) {
	nextPort := s.Port
	newProcess := func(prefix string, i int, dc string) process {
		p := process{name: prefix + strconv.Itoa(i+1), dataCentre: dc, port: nextPort}
		nextPort += portsPerProcess
		return p
	}
	var keepers, entries, agents []process
	for i, dc := range s.DataCentres {
		keepers = append(keepers, newProcess("k", i, dc))
	}
	for i := range s.Entries {
		entries = append(entries, newProcess("e", i, s.dataCentre(i)))
	}
	var targets []Target
	for i := range s.Workers {
		a := newProcess("a", i, s.dataCentre(i/s.WorkersPerRack))
		agents = append(agents, a)
		targets = append(targets, s.target(a, i))
	}
	var files []File
	addFile := func(p process, r keys.Role, settings conf.Settings) error {
		f, err := settingsFile(p, r, settings)
		files = append(files, f)
		return err
	}
	for _, p := range keepers {
		if err := addFile(p, keys.Keeper, keeperSettings(p, keepers)); err != nil {
			return nil, err
		}
	}
	for _, p := range entries {
		if err := addFile(p, keys.Entry, entrySettings(p, keepers)); err != nil {
			return nil, err
		}
	}
	for _, p := range agents {
		if err := addFile(p, keys.Agent, agentSettings(p, entries)); err != nil {
			return nil, err
		}
	}
	b, err := json.MarshalIndent(targets, "", jsonIndent)
	return append(files, File{Name: TargetsFile, Body: append(b, '\n')}), trace.Wrap(err)
}

func (s Spec) dataCentre(i int) string { return s.DataCentres[i%len(s.DataCentres)] }

func (s Spec) target(a process, i int) Target {
	return Target{
		Name:       fmt.Sprintf("%s-%d", s.Executor, i+1),
		DataCentre: a.dataCentre,
		Labels: model.Labels{
			LabelDataCentre: a.dataCentre,
			LabelRack:       "r" + strconv.Itoa(i/s.WorkersPerRack+1),
			LabelExecutor:   s.Executor,
		},
		URL: a.url(portTarget), Agent: a.url(portHTTP), Platform: a.url(portPlatform),
		Slots: s.Slots, Connections: s.Connections, Lease: targetLease,
	}
}

func keeperSettings(p process, keepers []process) conf.Settings {
	s := conf.Default()
	for _, k := range keepers {
		s.Keeper.InitialMembers = append(s.Keeper.InitialMembers,
			conf.InitialMember{Name: k.name, Address: k.address(0), DataCentre: k.dataCentre})
		if k != p {
			s.Join.Addresses = append(s.Join.Addresses, k.address(0))
		}
	}
	s.Node.DataFolder = "data/" + p.name
	return s
}

func entrySettings(p process, keepers []process) conf.Settings {
	s := conf.Default()
	s.Join.Addresses = addresses(keepers)
	s.Entry.Callers, s.Entry.Operators = p.address(portHTTP), p.address(portOperators)
	return s
}

func agentSettings(p process, entries []process) conf.Settings {
	s := conf.Default()
	s.Join.Addresses = addresses(entries)
	s.Agent.Targets, s.Agent.Platform = p.address(portHTTP), p.url(portPlatform)
	return s
}

func addresses(ps []process) []string {
	var out []string
	for _, p := range ps {
		out = append(out, p.address(0))
	}
	return out
}

// settingsFile adds the settings that every process has and validates the result.
func settingsFile(p process, r keys.Role, s conf.Settings) (File, error) {
	s.Node.Name, s.Node.DataCentre, s.Node.Roles = p.name, p.dataCentre, []string{string(r)}
	s.Node.Listen, s.Node.Advertise = p.address(0), p.address(0)
	s.TLS = conf.TLS{CA: "tls/ca.pem", Cert: "tls/" + p.name + ".pem", Key: "tls/" + p.name + ".key"}
	s.Metrics.Listen = p.address(portMetrics)
	if err := s.Validate(); err != nil {
		return File{}, trace.Wrap(err)
	}
	b, err := s.Sparse()
	return File{Name: p.name + ".json", Body: b}, trace.Wrap(err)
}
