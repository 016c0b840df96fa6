package settings

import (
	"os"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/inifile"
)

// MeshNode holds the static settings of a node on the users' platform. The
// platform fills in deploy/mangostandd.ini.tmpl at each start and each change.
type MeshNode struct {
	// Instance names the instance; required.
	Instance string
	// Region and FailureDomain place the instance; required.
	Region        string
	FailureDomain string
	// LogLevel is debug, info, warn or error; default info.
	LogLevel string
	// MemoryLimitMB is the limit of the process in MB; 0 means none.
	MemoryLimitMB int
	// LinkMbps is the rate of the machine's link in Mbit/s; 0 means not known.
	LinkMbps float64

	// CallerAddr is the address for callers, Peers that for other nodes, Local that
	// for the backend server's announcements and Readiness that for the
	// platform's readiness check and metrics. All are IP:port and required.
	CallerAddr    string
	PeerAddr      string
	AnnounceAddr  string
	ReadinessAddr string
	// AdvertisedPeerAddr is the address that other nodes dial; default Peers.
	AdvertisedPeerAddr string

	// Service is the service of the backend server beside the node, Server its
	// address.
	Service     string
	BackendAddr string

	// StoreURL is the URL of the platform's store; required.
	StoreURL string
	// PlatformLimits are the figures of the platform that bind a node.
	PlatformLimits PlatformLimits
}

// PlatformLimits are the figures of the platform that bind a node.
type PlatformLimits struct {
	// DrainTime is how long a leaving backend server may still get calls,
	// default 2s.
	DrainTime time.Duration
	// StopGracePeriod is the time between the order to stop and the kill, default 6s.
	StopGracePeriod time.Duration
	// AttemptRatio, AttemptWindow and AttemptSlack bound the additional attempts
	// of all nodes for a service: ratio times its calls, plus slack, in a
	// window. Defaults: 0.2, 10s and 50.
	AttemptRatio  float64
	AttemptWindow time.Duration
	AttemptSlack  float64
}

func defaultBounds() PlatformLimits {
	return PlatformLimits{DrainTime: 2 * time.Second, StopGracePeriod: 6 * time.Second, AttemptRatio: 0.2, AttemptWindow: 10 * time.Second, AttemptSlack: 50}
}

const (
	// longestBound and mostAttempts bound what the platform may ask for.
	longestBound = 10 * time.Minute
	mostAttempts = 1_000_000
)

// LoadMeshNode reads the settings file of a node on the platform.
func LoadMeshNode(file string) (*MeshNode, []*inifile.Error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, []*inifile.Error{{File: file, Line: 1, Text: errors.Cause(err).Error()}}
	}
	return ParseMesh(file, data)
}

// ParseMesh checks settings and returns them, or every problem with file and
// line.
func ParseMesh(file string, data []byte) (*MeshNode, []*inifile.Error) {
	sections, problems := inifile.Parse(file, data)
	if len(problems) > 0 {
		return nil, problems
	}
	m := &MeshNode{LogLevel: "info", PlatformLimits: defaultBounds()}
	for _, s := range sections {
		fields := m.fields(s.Title())
		if fields == nil {
			problems = append(problems, s.Errorf("unknown section [%s]", s.Title()))
			continue
		}
		problems = append(problems, inifile.Apply(s, fields)...)
	}
	problems = append(problems, checkRequired(file, sections, requiredMeshKeys)...)
	if len(problems) > 0 {
		return nil, problems
	}
	if m.AdvertisedPeerAddr == "" {
		m.AdvertisedPeerAddr = m.PeerAddr
	}
	return m, nil
}

var requiredMeshKeys = []requiredKey{
	{"node", "instance"},
	{"node", "region"},
	{"node", "failure_domain"},
	{"listen", "callers"},
	{"listen", "peers"},
	{"listen", "local"},
	{"listen", "readiness"},
	{"backend_server", "service"},
	{"backend_server", "address"},
	{"platform", "store"},
}

// MeshNodeReference returns the rows of the reference page for each section.
func MeshNodeReference() []inifile.SectionReference {
	m := &MeshNode{LogLevel: "info", PlatformLimits: defaultBounds()}
	var references []inifile.SectionReference
	for _, kind := range []string{"node", "listen", "backend_server", "platform"} {
		references = append(references, inifile.Describe(kind, m.fields(kind)))
	}
	return references
}

// fields returns the keys of a section, nil when there is no such section.
func (m *MeshNode) fields(section string) []inifile.Field {
	switch section {
	case "node":
		return []inifile.Field{
			inifile.String("instance", &m.Instance).
				WithDescription("Name of the instance, unique in the fleet and the same after a restart. Required."),
			inifile.String("region", &m.Region).WithDescription("Region of the instance. Required."),
			inifile.String("failure_domain", &m.FailureDomain).WithDescription("Failure domain of the instance. Required."),
			inifile.Choice("log_level", &m.LogLevel, "debug", "info", "warn", "error").WithDescription("Least level of log lines."),
			inifile.Int("memory_mb", &m.MemoryLimitMB, 0, maxMemoryMB).WithDescription("Memory limit of the process in MB; 0 means none."),
			inifile.Float("link_mbps", &m.LinkMbps, 0, maxLinkMbps).
				WithDescription("Rate of the machine's link in Mbit/s; 0 means not known. Large answers are paced to it."),
		}
	case "listen":
		return []inifile.Field{
			address("callers", &m.CallerAddr).WithDescription("TCP address for callers. Required."),
			address("peers", &m.PeerAddr).WithDescription("TCP address for other nodes. Required."),
			address("advertise_peers", &m.AdvertisedPeerAddr).
				WithDescription("Address that other nodes dial; without the key the value of peers."),
			address("local", &m.AnnounceAddr).WithDescription("TCP address for the backend server's announcements. Required."),
			address("readiness", &m.ReadinessAddr).WithDescription("TCP address for the readiness check and the metrics. Required."),
		}
	case "backend_server":
		return []inifile.Field{
			inifile.String("service", &m.Service).WithDescription("Service of the backend server beside the node. Required."),
			address("address", &m.BackendAddr).WithDescription("Address of the backend server. Required."),
		}
	case "platform":
		return []inifile.Field{
			storeField(&m.StoreURL).WithDescription("URL of the platform's store. Required."),
			inifile.Duration("drain_time", &m.PlatformLimits.DrainTime, time.Millisecond, longestBound).
				WithDescription("How long a leaving backend server may still get calls."),
			inifile.Duration("grace", &m.PlatformLimits.StopGracePeriod, time.Millisecond, longestBound).
				WithDescription("Time between the order to stop and the kill."),
			inifile.Float("attempt_ratio", &m.PlatformLimits.AttemptRatio, 0, 1).
				WithDescription("Additional attempts of all nodes for a service per call."),
			inifile.Duration("attempt_window", &m.PlatformLimits.AttemptWindow, time.Second, longestBound).
				WithDescription("Window over which additional attempts are counted."),
			inifile.Float("attempt_slack", &m.PlatformLimits.AttemptSlack, 0, mostAttempts).
				WithDescription("Additional attempts of all nodes for a service in a window, besides the ratio."),
		}
	}
	return nil
}

// maxMemoryMB bounds the memory limit to what an instance can have.
const maxMemoryMB = 1 << 20

// maxLinkMbps bounds the rate of a link to what an instance can have.
const maxLinkMbps = 1e6
