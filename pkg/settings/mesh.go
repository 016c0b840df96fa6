package settings

import (
	"os"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/decide/locality"
	"mangostand.example/mangostand/pkg/inifile"
)

// MeshNode holds the static settings of a mesh node, which runs on the
// deployment platform. The platform renders the settings file from
// deploy/mangostandd.ini.tmpl at each start and at each change.
type MeshNode struct {
	// Instance is the unique name of the instance; required.
	Instance string
	// Region and FailureDomain locate the instance; required.
	Region        string
	FailureDomain string
	// LogLevel is debug, info, warn or error. Default: info.
	LogLevel string
	// MemoryLimitMB is the memory limit of the process in MB; 0 means no limit.
	MemoryLimitMB int
	// MaxHeldBodiesMB bounds the request bodies that the node holds at once, in MB; 0
	// means half of MemoryLimitMB.
	MaxHeldBodiesMB int
	// MaxDescriptors is the limit on open descriptors of the process; 0 means the one
	// that the system reports.
	MaxDescriptors int
	// LinkMbps is the rate of the machine's network link in Mbit/s; 0 means that
	// it is not known.
	LinkMbps float64
	// CrossDomainTimePerMB is the time that a megabyte between failure domains is
	// worth. Default: 2.5s.
	CrossDomainTimePerMB time.Duration

	// CallerAddr is the listen address for callers, PeerAddr the one for other
	// nodes, AnnounceAddr the one for the announcements of the backend server and
	// ReadinessAddr the one for the platform's readiness check and the metrics.
	// All are IP:port for TCP and required.
	CallerAddr    string
	PeerAddr      string
	AnnounceAddr  string
	ReadinessAddr string
	// AdvertisedPeerAddr is the address that other nodes dial. Default: PeerAddr.
	AdvertisedPeerAddr string

	// Service is the service of the local backend server and BackendAddr its
	// address, IP:port; both are required.
	Service     string
	BackendAddr string
	// MaxResponseHeaderBytes and MaxResponseBodyBytes bound the header and the
	// body of a response of the backend server, in bytes. Defaults: 256000 and
	// 256000000.
	MaxResponseHeaderBytes int
	MaxResponseBodyBytes   int

	// StoreURL is the URL of the platform's store; required.
	StoreURL string
	// Bootstrap is true when the whole deployment starts for the first time: its
	// nodes then find each other before one of them reads the configuration.
	// Default: false.
	Bootstrap bool
	// PlatformLimits are the limits that the platform sets for a node.
	PlatformLimits PlatformLimits
}

// PlatformLimits are the limits that the platform sets for a node.
type PlatformLimits struct {
	// DrainTime is how long a backend server may still get calls after it has
	// started to drain. Default: 2s.
	DrainTime time.Duration
	// StopGracePeriod is the time between the stop request and the kill of the
	// process. Default: 6s.
	StopGracePeriod time.Duration
	// AttemptRatio, AttemptWindow and AttemptSlack limit the additional attempts
	// that all nodes together make for a service: in each window at most the
	// ratio times its calls, plus the slack. Defaults: 0.2, 10s and 50.
	AttemptRatio  float64
	AttemptWindow time.Duration
	AttemptSlack  float64
	// StrictRevocation requires that a withdrawn API key is void on all nodes, in
	// contact with the store or not, RevocationTime after the withdrawal. Defaults: no,
	// 5s.
	StrictRevocation bool
	RevocationTime   time.Duration
	// QuotaWindow, QuotaOvershoot and QuotaSlack say how exact the quotas of customers
	// are: in each window at most 1 plus QuotaOvershoot times the quota, plus
	// QuotaSlack requests, over all nodes. Defaults: 5s, 0.1 and 20.
	QuotaWindow    time.Duration
	QuotaOvershoot float64
	QuotaSlack     float64
	// WarmupOvershoot and WarmupSlack say how exact the limit of a cold backend server
	// is: in any second at most WarmupOvershoot times its rate, plus WarmupSlack
	// requests. Defaults: 1.5 and 8.
	WarmupOvershoot float64
	WarmupSlack     float64
	// EvacuationTime is the time in which an evacuated failure domain gets no more
	// calls. Default: 5s.
	EvacuationTime time.Duration
}

// DefaultQuotaWindow is the default of PlatformLimits.QuotaWindow.
const DefaultQuotaWindow = 5 * time.Second

func defaultPlatformLimits() PlatformLimits {
	return PlatformLimits{
		DrainTime: 2 * time.Second, StopGracePeriod: 6 * time.Second, AttemptRatio: 0.2, AttemptWindow: 10 * time.Second, AttemptSlack: 50,
		RevocationTime: 5 * time.Second, QuotaWindow: DefaultQuotaWindow, QuotaOvershoot: 0.1, QuotaSlack: 20,
		WarmupOvershoot: 1.5, WarmupSlack: 8, EvacuationTime: 5 * time.Second,
	}
}

func defaultMeshNode() *MeshNode {
	return &MeshNode{
		LogLevel: "info", CrossDomainTimePerMB: locality.DefaultTimePerMB, MaxResponseHeaderBytes: 256_000, MaxResponseBodyBytes: 256_000_000, PlatformLimits: defaultPlatformLimits(),
	}
}

const (
	// minResponseHeaderBytes leaves room for the header of a usual response,
	// maxResponseHeaderBytes and maxResponseBodyBytes are above what any backend
	// server sends.
	minResponseHeaderBytes = 4_000
	maxResponseHeaderBytes = 16_000_000
	maxResponseBodyBytes   = 1_000_000_000_000
	// maxPlatformDuration and maxAttemptSlack are the largest values that the
	// platform may set.
	maxPlatformDuration = 10 * time.Minute
	maxAttemptSlack     = 1_000_000
)

// LoadMeshNode reads the settings file of a mesh node.
func LoadMeshNode(file string) (*MeshNode, []*inifile.Error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, []*inifile.Error{{File: file, Line: 1, Text: errors.Cause(err).Error()}}
	}
	return ParseMeshNode(file, data)
}

// ParseMeshNode parses and validates settings. It returns either the settings
// or every problem with its file and line.
func ParseMeshNode(file string, data []byte) (*MeshNode, []*inifile.Error) {
	sections, problems := inifile.Parse(file, data)
	if len(problems) > 0 {
		return nil, problems
	}
	m := defaultMeshNode()
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

// MeshNodeReference returns the rows of the reference page for each section of
// MeshNode.
func MeshNodeReference() []inifile.SectionReference {
	m := defaultMeshNode()
	var references []inifile.SectionReference
	for _, kind := range []string{"node", "listen", "backend_server", "platform"} {
		references = append(references, inifile.Describe(kind, m.sectionFields(kind)))
	}
	return references
}

// sectionFields returns the fields of a section, or nil if there is no such
// section.
func (m *MeshNode) sectionFields(section string) []inifile.Field {
	switch section {
	case "node":
		return []inifile.Field{
			inifile.String("instance", &m.Instance).
				WithDescription("Name of the instance, unique in the fleet and the same after a restart. Required."),
			inifile.String("region", &m.Region).WithDescription("Region of the instance. Required."),
			inifile.String("failure_domain", &m.FailureDomain).WithDescription("Failure domain of the instance. Required."),
			inifile.Choice("log_level", &m.LogLevel, "debug", "info", "warn", "error").WithDescription("Least level of log lines."),
			inifile.Int("memory_mb", &m.MemoryLimitMB, 0, maxMemoryMB).WithDescription("Memory limit of the process in MB; 0 means none."),
			inifile.Int("max_held_bodies_mb", &m.MaxHeldBodiesMB, 0, maxMemoryMB).
				WithDescription("Request bodies that the node holds in memory at once, in MB; further ones are refused with status 503. 0 means half of memory_mb, or no bound without it."),
			inifile.Int("max_descriptors", &m.MaxDescriptors, 0, maxMaxDescriptors).
				WithDescription("Limit on open descriptors of the process; 0 means the one that the system reports. Idle connections are closed before it is reached."),
			inifile.Float("link_mbps", &m.LinkMbps, 0, maxLinkMbps).
				WithDescription("Rate of the machine's link in Mbit/s; 0 means not known. Large answers are paced to it."),
			inifile.Duration("cross_domain_time_per_mb", &m.CrossDomainTimePerMB, 0, maxCrossDomainTimePerMB).
				WithDescription("Response time that a megabyte (1,000,000 bytes of bodies) between failure domains is worth. A call leaves its failure domain if that is expected to save more than this time for its bytes: with 2.5s, 225 ms for an answer of 90 kB. Answers count always, request bodies only for rules with large requests. A larger value keeps more calls in their domain while it is slow; with 0s bytes do not count."),
		}
	case "listen":
		return []inifile.Field{
			addressField("callers", &m.CallerAddr).WithDescription("TCP address for callers. Required."),
			addressField("peers", &m.PeerAddr).WithDescription("TCP address for other nodes. Required."),
			addressField("advertise_peers", &m.AdvertisedPeerAddr).
				WithDescription("Address that other nodes dial; without the key the value of peers."),
			addressField("local", &m.AnnounceAddr).WithDescription("TCP address for the backend server's announcements. Required."),
			addressField("readiness", &m.ReadinessAddr).WithDescription("TCP address for the readiness check and the metrics. Required."),
		}
	case "backend_server":
		return []inifile.Field{
			inifile.String("service", &m.Service).WithDescription("Service of the backend server beside the node. Required."),
			addressField("address", &m.BackendAddr).WithDescription("Address of the backend server. Required."),
			inifile.Bytes("max_response_header", &m.MaxResponseHeaderBytes, minResponseHeaderBytes, maxResponseHeaderBytes).
				WithDescription("Largest header of a response. A longer one is cut off, its connection closed, and the call counts as failed."),
			inifile.Bytes("max_response_body", &m.MaxResponseBodyBytes, 1, maxResponseBodyBytes).
				WithDescription("Largest body of a response. A longer one is cut off, so that the caller sees an incomplete response."),
		}
	case "platform":
		return []inifile.Field{
			storeField(&m.StoreURL).WithDescription("URL of the platform's store. Required."),
			inifile.Bool("bootstrap", &m.Bootstrap).
				WithDescription("Whether the whole deployment starts for the first time; its nodes then find each other before one reads the configuration."),
			inifile.Duration("drain_time", &m.PlatformLimits.DrainTime, time.Millisecond, maxPlatformDuration).
				WithDescription("How long a leaving backend server may still get calls."),
			inifile.Duration("grace", &m.PlatformLimits.StopGracePeriod, time.Millisecond, maxPlatformDuration).
				WithDescription("Time between the order to stop and the kill."),
			inifile.Float("attempt_ratio", &m.PlatformLimits.AttemptRatio, 0, 1).
				WithDescription("Additional attempts of all nodes for a service per call."),
			inifile.Duration("attempt_window", &m.PlatformLimits.AttemptWindow, time.Second, maxPlatformDuration).
				WithDescription("Window over which additional attempts are counted."),
			inifile.Float("attempt_slack", &m.PlatformLimits.AttemptSlack, 0, maxAttemptSlack).
				WithDescription("Additional attempts of all nodes for a service in a window, besides the ratio."),
			inifile.Bool("strict_revocation", &m.PlatformLimits.StrictRevocation).
				WithDescription("Whether a withdrawn API key has to be void in time on nodes without contact to the store, too. Such nodes then refuse requests with keys."),
			inifile.Duration("revocation_time", &m.PlatformLimits.RevocationTime, time.Second, maxPlatformDuration).
				WithDescription("Time in which a withdrawn API key is void, with strict_revocation."),
			inifile.Duration("quota_window", &m.PlatformLimits.QuotaWindow, time.Second, maxPlatformDuration).
				WithDescription("Window over which requests are counted against the quota of a customer."),
			inifile.Float("quota_overshoot", &m.PlatformLimits.QuotaOvershoot, 0, 1).
				WithDescription("Share by which a quota may be exceeded in a window."),
			inifile.Float("quota_slack", &m.PlatformLimits.QuotaSlack, 0, maxAttemptSlack).
				WithDescription("Requests by which a quota may be exceeded in a window, besides the share."),
			inifile.Float("warmup_overshoot", &m.PlatformLimits.WarmupOvershoot, 0, maxWarmupOvershoot).
				WithDescription("Requests to a cold backend server in any second, as a multiple of the rate that it bears."),
			inifile.Float("warmup_slack", &m.PlatformLimits.WarmupSlack, 0, maxAttemptSlack).
				WithDescription("Requests to a cold backend server in any second, besides the multiple."),
			inifile.Duration("evacuation_time", &m.PlatformLimits.EvacuationTime, time.Millisecond, maxPlatformDuration).
				WithDescription("Time in which an evacuated failure domain gets no more calls."),
		}
	}
	return nil
}

// maxMemoryMB is above the memory that any instance can have.
const maxMemoryMB = 1 << 20

// maxMaxDescriptors is above the descriptors that any process can have.
const maxMaxDescriptors = 1 << 30

// maxWarmupOvershoot is the largest multiple that the platform may set.
const maxWarmupOvershoot = 1000

// maxCrossDomainTimePerMB keeps all but the smallest calls in their failure domain.
const maxCrossDomainTimePerMB = 10 * time.Minute

// maxLinkMbps is above the link rate that any instance can have.
const maxLinkMbps = 1e6
