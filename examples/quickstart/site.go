package main

import "time"

// Site is the shape of a site.
type Site struct {
	Name        string
	DisplayName string
	// Region holds all failure domains of the site.
	Region string
	// FailureDomains are the failure domains. The loopback addresses of the domain
	// with index i begin with 127.0.(i+1).
	FailureDomains []string
	Services       []Service
	// BookingKind names the kind of the non-idempotent calls in the input file.
	BookingKind string
}

// Service is a group of backend servers, each with a node of its own. The
// instances are spread over the failure domains in turn.
type Service struct {
	Name string
	// InstancePrefix of the instance names.
	InstancePrefix string
	InstanceCount  int
	Slots          int
	MaxConnections int
	ServiceTime    time.Duration
	// MaxServiceTimeFactor is the largest factor on the service time.
	MaxServiceTimeFactor float64
	// LargeResponsePrefix and LargeSize describe the large answers.
	LargeResponsePrefix string
	LargeResponseBytes  int
}

const (
	serviceTime = 5 * time.Millisecond
	// maxServiceTimeFactor lets the service time change between one and three times its
	// value, as on a host with noisy neighbours.
	maxServiceTimeFactor = 3
	maxConnections       = 200
	// largeResponseBytes is a drawing bundle or an archive in bytes.
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
