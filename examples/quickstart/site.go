package main

import "time"

// Site describes a site and its services.
type Site struct {
	Name        string
	DisplayName string
	// Region is the region of all failure domains of the site.
	Region string
	// FailureDomains are the names of the failure domains. The loopback addresses of
	// the domain with index i begin with 127.0.(i+1).
	FailureDomains []string
	Services       []Service
	// BookingKind is the kind of the non-idempotent calls in the recording.
	BookingKind string
}

// Service is a group of backend servers, each on an instance with its own node. The
// instances are distributed over the failure domains in round-robin order.
type Service struct {
	Name string
	// InstancePrefix begins the names of the instances.
	InstancePrefix string
	InstanceCount  int
	Slots          int
	MaxConnections int
	ServiceTime    time.Duration
	// MaxServiceTimeFactor is the upper bound of the random factor by which the
	// service time varies.
	MaxServiceTimeFactor float64
	// LargeResponsePrefix is the path prefix of the calls with large responses,
	// LargeResponseBytes their size. The prefix is empty if there are none.
	LargeResponsePrefix string
	LargeResponseBytes  int
}

const (
	serviceTime = 5 * time.Millisecond
	// maxServiceTimeFactor makes the service time vary between one and three times
	// its value, as on a machine with noisy neighbours.
	maxServiceTimeFactor = 3
	maxConnections       = 200
	// largeResponseBytes is the size of a drawing bundle or an archive.
	largeResponseBytes = 200_000
)

var sites = []*Site{
	{
		Name: "thies", DisplayName: "Thiès", Region: "senegal", BookingKind: "booking",
		FailureDomains: []string{"thies-nord", "thies-sud", "thies-gare"},
		Services: []Service{
			{Name: "atelier-suivi", InstancePrefix: "atelier", InstanceCount: 6, Slots: 10, MaxConnections: maxConnections, ServiceTime: serviceTime, MaxServiceTimeFactor: maxServiceTimeFactor},
			{Name: "plan-depot", InstancePrefix: "plan", InstanceCount: 3, Slots: 10, MaxConnections: maxConnections, ServiceTime: serviceTime, MaxServiceTimeFactor: maxServiceTimeFactor, LargeResponsePrefix: "/drawings", LargeResponseBytes: largeResponseBytes},
		},
	},
	{
		Name: "great-lakes", DisplayName: "Great Lakes", Region: "lakes", BookingKind: "swap",
		FailureDomains: []string{"huron-shore", "erie-basin", "superior-north"},
		Services: []Service{
			{Name: "rota-desk", InstancePrefix: "rota", InstanceCount: 7, Slots: 15, MaxConnections: maxConnections, ServiceTime: serviceTime, MaxServiceTimeFactor: maxServiceTimeFactor},
			{Name: "sample-vault", InstancePrefix: "vault", InstanceCount: 3, Slots: 15, MaxConnections: maxConnections, ServiceTime: serviceTime, MaxServiceTimeFactor: maxServiceTimeFactor, LargeResponsePrefix: "/archives", LargeResponseBytes: largeResponseBytes},
		},
	},
}

func siteByName(name string) *Site {
	for _, s := range sites {
		if s.Name == name {
			return s
		}
	}
	return nil
}
