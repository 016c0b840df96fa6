package main

import (
	"os"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/inifile"
)

// scenario describes a site and its load.
type scenario struct {
	serverCount, slotsPerServer int
	// In each noisePeriod, a server is noisySlowdown times slower with the
	// probability noisyShare (noise_share, noise_factor).
	noisyShare, noisySlowdown float64
	noisePeriod               time.Duration
	// Once the share of busy slots exceeds contentionThreshold (knee), service
	// times grow linearly, up to maxContentionFactor (knee_factor) with all slots
	// busy.
	contentionThreshold, maxContentionFactor float64
	duration                                 time.Duration
	callClasses                              []*callClass
	// domains are the failure domains, none for a single one. With domains, the number
	// of servers follows from that of the nodes, the demand is load (a share of the
	// capacity of all servers) and the rates of the call classes are relative. Demand
	// varies by waveShare within wavePeriod, out of phase between the domains, which
	// are oneWay apart.
	domains            []*domainShape
	load, waveShare    float64
	wavePeriod, oneWay time.Duration
	// sharedReports delivers each load report to all entries at once.
	sharedReports bool
}

// callClass describes calls with the same service time, objective and value.
type callClass struct {
	name string
	// rate is in calls per second.
	rate                                         float64
	serviceTime, responseTimeObjective, deadline time.Duration
	// value (worth) is the value of a response within the objective.
	value float64
	// rank is the priority, 0 is the highest.
	rank int
	// responseBytes is the size of a response.
	responseBytes int
}

// Limits of a scenario, so that a simulation takes seconds.
const (
	maxServers       = 100
	maxSlots         = 1000
	maxCallRate      = 100_000
	maxRunDuration   = 10 * time.Minute
	maxCallDuration  = time.Minute
	maxSlowdown      = 100
	maxValue         = 1000
	maxRank          = 100
	maxResponseBytes = 1 << 30
	maxDomainWeight  = 1e6
)

func (s *scenario) siteFields() []inifile.Field {
	return []inifile.Field{
		inifile.Int("servers", &s.serverCount, 1, maxServers),
		inifile.Int("slots", &s.slotsPerServer, 1, maxSlots),
		inifile.Float("noise_share", &s.noisyShare, 0, 1),
		inifile.Float("noise_factor", &s.noisySlowdown, 1, maxSlowdown),
		inifile.Duration("noise_period", &s.noisePeriod, time.Millisecond, maxRunDuration),
		inifile.Float("knee", &s.contentionThreshold, 0, 1),
		inifile.Float("knee_factor", &s.maxContentionFactor, 1, maxSlowdown),
		inifile.Duration("length", &s.duration, time.Second, maxRunDuration),
		inifile.Float("load", &s.load, 0, maxSlowdown),
		inifile.Float("wave_share", &s.waveShare, 0, 1),
		inifile.Duration("wave_period", &s.wavePeriod, time.Second, maxRunDuration),
		inifile.Bool("shared_reports", &s.sharedReports),
		inifile.Duration("one_way", &s.oneWay, 0, time.Second),
	}
}

func (c *callClass) fields() []inifile.Field {
	return []inifile.Field{
		inifile.Float("rate", &c.rate, 0, maxCallRate),
		inifile.Duration("work", &c.serviceTime, time.Millisecond, maxCallDuration),
		inifile.Duration("objective", &c.responseTimeObjective, time.Millisecond, maxCallDuration),
		inifile.Duration("deadline", &c.deadline, time.Millisecond, maxCallDuration),
		inifile.Float("worth", &c.value, 0, maxValue),
		inifile.Int("rank", &c.rank, 0, maxRank),
		inifile.Int("response_bytes", &c.responseBytes, 0, maxResponseBytes),
	}
}

func (d *domainShape) fields() []inifile.Field {
	return []inifile.Field{
		inifile.Float("servers", &d.servers, 0, maxDomainWeight),
		inifile.Float("demand", &d.demand, 0, maxDomainWeight),
	}
}

// loadScenario reads a scenario file. The error is the first problem found.
func loadScenario(file string) (*scenario, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Trace(err)
	}
	sections, problems := inifile.Parse(file, data)
	s := &scenario{noisySlowdown: 1, noisePeriod: time.Second, contentionThreshold: 1, maxContentionFactor: 1, duration: time.Minute, wavePeriod: time.Minute}
	for _, section := range sections {
		switch section.Kind {
		case "site":
			problems = append(problems, inifile.Apply(section, s.siteFields())...)
		case "calls":
			class := &callClass{name: section.Name}
			s.callClasses = append(s.callClasses, class)
			problems = append(problems, inifile.Apply(section, class.fields())...)
		case "domain":
			domain := &domainShape{name: section.Name}
			s.domains = append(s.domains, domain)
			problems = append(problems, inifile.Apply(section, domain.fields())...)
		default:
			problems = append(problems, section.Errorf("unknown section [%s]", section.Title()))
		}
	}
	if len(problems) > 0 {
		return nil, problems[0]
	}
	if s.serverCount == 0 && len(s.domains) == 0 || s.slotsPerServer == 0 || len(s.callClasses) == 0 {
		return nil, errors.Errorf("%s: a scenario needs servers, slots and calls", file)
	}
	return s, nil
}
