package main

import "time"

// Site is the shape of a site.
type Site struct {
	Name  string
	Title string
	// Region holds all failure domains of the site.
	Region string
	// Domains are the failure domains. The loopback addresses of the domain
	// with index i begin with 127.0.(i+1).
	Domains  []string
	Services []Service
	// Booking names the kind of the non-idempotent calls in the input file.
	Booking string
}

// Service is a group of backend servers, each with a node of its own. The
// instances are spread over the failure domains in turn.
type Service struct {
	Name string
	// Prefix of the instance names.
	Prefix      string
	Count       int
	Slots       int
	Connections int
	ServiceTime time.Duration
	// Swing is the largest factor on the service time.
	Swing float64
	// LargePath and LargeSize describe the large answers.
	LargePath string
	LargeSize int
}

const (
	serviceTime = 5 * time.Millisecond
	// swingFactor lets the service time change between one and three times its
	// value, as on a host with noisy neighbours.
	swingFactor = 3
	connections = 200
	// largeSize is a drawing bundle or an archive in bytes.
	largeSize = 200_000
)

var sites = []*Site{
	{
		Name: "thies", Title: "Thiès", Region: "senegal", Booking: "booking",
		Domains: []string{"thies-nord", "thies-sud", "thies-gare"},
		Services: []Service{
			{Name: "atelier-suivi", Prefix: "atelier", Count: 6, Slots: 10, Connections: connections, ServiceTime: serviceTime, Swing: swingFactor},
			{Name: "plan-depot", Prefix: "plan", Count: 3, Slots: 10, Connections: connections, ServiceTime: serviceTime, Swing: swingFactor, LargePath: "/drawings", LargeSize: largeSize},
		},
	},
	{
		Name: "great-lakes", Title: "Great Lakes", Region: "lakes", Booking: "swap",
		Domains: []string{"huron-shore", "erie-basin", "superior-north"},
		Services: []Service{
			{Name: "rota-desk", Prefix: "rota", Count: 7, Slots: 15, Connections: connections, ServiceTime: serviceTime, Swing: swingFactor},
			{Name: "sample-vault", Prefix: "vault", Count: 3, Slots: 15, Connections: connections, ServiceTime: serviceTime, Swing: swingFactor, LargePath: "/archives", LargeSize: largeSize},
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
