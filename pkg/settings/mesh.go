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

func defaultPlatformLimits() PlatformLimits {
	return PlatformLimits{DrainTime: 2 * time.Second, StopGracePeriod: 6 * time.Second, AttemptRatio: 0.2, AttemptWindow: 10 * time.Second, AttemptSlack: 50}
}

const (
	// maxPlatformDuration and mostAttempts bound what the platform may ask for.
	maxPlatformDuration = 10 * time.Minute
	maxAttemptSlack     = 1_000_000
)

// LoadMeshNode reads the settings file of a node on the platform.
func LoadMeshNode(file string) (*MeshNode, []*inifile.Error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, []*inifile.Error{{File: file, Line: 1, Text: errors.Cause(err).Error()}}
	}
	return ParseMeshNode(file, data)
}

// ParseMeshNode checks settings and returns them, or every problem with file and
// line.
func ParseMeshNode(file string, data []byte) (*MeshNode, []*inifile.Error) {
	sections, problems := inifile.Parse(file, data)
	if len(problems) > 0 {
		return nil, problems
	}
	m := &MeshNode{LogLevel: "info", PlatformLimits: defaultPlatformLimits()}
	for _, s := range sections {
		fields := m.sectionFields(s.Title())
		if fields == nil {
			problems = append(problems, s.Errorf("unknown section [%s]", s.Title()))
			continue
		}
		problems = append(problems, inifile.Apply(s, fields)...)
	}
	problems = append(problems, checkRequired(file, sections, requiredMeshNodeKeys)...)
	if len(problems) > 0 {
		return nil, problems
	}
	if m.AdvertisedPeerAddr == "" {
		m.AdvertisedPeerAddr = m.PeerAddr
	}
	return m, nil
}

var requiredMeshNodeKeys = []requiredKey{
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
	m := &MeshNode{LogLevel: "info", PlatformLimits: defaultPlatformLimits()}
	var references []inifile.SectionReference
	for _, kind := range []string{"node", "listen", "backend_server", "platform"} {
		references = append(references, inifile.Describe(kind, m.sectionFields(kind)))
	}
	return references
}

// sectionFields returns the keys of a section, nil when there is no such section.
func (m *MeshNode) sectionFields(section string) []inifile.Field {
	switch section {
	case "node":
		return []inifile.Field{
			inifile.String("instance", &m.Instance).
				Because("Name of the instance, unique in the fleet and the same after a restart. Required."),
			inifile.String("region", &m.Region).Because("Region of the instance. Required."),
			inifile.String("failure_domain", &m.FailureDomain).Because("Failure domain of the instance. Required."),
			inifile.Choice("log_level", &m.LogLevel, "debug", "info", "warn", "error").Because("Least level of log lines."),
			inifile.Int("memory_mb", &m.MemoryLimitMB, 0, maxMemoryMB).Because("Memory limit of the process in MB; 0 means none."),
			inifile.Float("link_mbps", &m.LinkMbps, 0, maxLinkMbps).
				Because("Rate of the machine's link in Mbit/s; 0 means not known. Large answers are paced to it."),
		}
	case "listen":
		return []inifile.Field{
			addressField("callers", &m.CallerAddr).Because("TCP address for callers. Required."),
			addressField("peers", &m.PeerAddr).Because("TCP address for other nodes. Required."),
			addressField("advertise_peers", &m.AdvertisedPeerAddr).
				Because("Address that other nodes dial; without the key the value of peers."),
			addressField("local", &m.AnnounceAddr).Because("TCP address for the backend server's announcements. Required."),
			addressField("readiness", &m.ReadinessAddr).Because("TCP address for the readiness check and the metrics. Required."),
		}
	case "backend_server":
		return []inifile.Field{
			inifile.String("service", &m.Service).Because("Service of the backend server beside the node. Required."),
			addressField("address", &m.BackendAddr).Because("Address of the backend server. Required."),
		}
	case "platform":
		return []inifile.Field{
			storeField(&m.StoreURL).Because("URL of the platform's store. Required."),
			inifile.Duration("drain_time", &m.PlatformLimits.DrainTime, time.Millisecond, maxPlatformDuration).
				Because("How long a leaving backend server may still get calls."),
			inifile.Duration("grace", &m.PlatformLimits.StopGracePeriod, time.Millisecond, maxPlatformDuration).
				Because("Time between the order to stop and the kill."),
			inifile.Float("attempt_ratio", &m.PlatformLimits.AttemptRatio, 0, 1).
				Because("Additional attempts of all nodes for a service per call."),
			inifile.Duration("attempt_window", &m.PlatformLimits.AttemptWindow, time.Second, maxPlatformDuration).
				Because("Window over which additional attempts are counted."),
			inifile.Float("attempt_slack", &m.PlatformLimits.AttemptSlack, 0, maxAttemptSlack).
				Because("Additional attempts of all nodes for a service in a window, besides the ratio."),
		}
	}
	return nil
}

// maxMemoryMB bounds the memory limit to what an instance can have.
const maxMemoryMB = 1 << 20

// maxLinkMbps bounds the rate of a link to what an instance can have.
const maxLinkMbps = 1e6
