package main

import (
	"os"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/inifile"
)

// scenario is a site and its load.
type scenario struct {
	servers, slots int
	// noiseShare of the periods are slowed noiseFactor times.
	noiseShare, noiseFactor float64
	noisePeriod             time.Duration
	// Above knee times the slots, work takes up to kneeFactor times as long.
	knee, kneeFactor float64
	length           time.Duration
	kinds            []*kind
}

// kind is one kind of calls.
type kind struct {
	name string
	// rate is in calls per second.
	rate                      float64
	work, objective, deadline time.Duration
	worth                     float64
	rank                      int
}

// Bounds of a scenario, so that a run ends in seconds.
const (
	mostServers  = 100
	mostSlots    = 1000
	mostRate     = 100_000
	longestRun   = 10 * time.Minute
	longestCall  = time.Minute
	mostSlowdown = 100
	mostWorth    = 1000
	mostRank     = 100
)

func (s *scenario) siteFields() []inifile.Field {
	return []inifile.Field{
		inifile.Int("servers", &s.servers, 1, mostServers),
		inifile.Int("slots", &s.slots, 1, mostSlots),
		inifile.Float("noise_share", &s.noiseShare, 0, 1),
		inifile.Float("noise_factor", &s.noiseFactor, 1, mostSlowdown),
		inifile.Duration("noise_period", &s.noisePeriod, time.Millisecond, longestRun),
		inifile.Float("knee", &s.knee, 0, 1),
		inifile.Float("knee_factor", &s.kneeFactor, 1, mostSlowdown),
		inifile.Duration("length", &s.length, time.Second, longestRun),
	}
}

func (k *kind) fields() []inifile.Field {
	return []inifile.Field{
		inifile.Float("rate", &k.rate, 0, mostRate),
		inifile.Duration("work", &k.work, time.Millisecond, longestCall),
		inifile.Duration("objective", &k.objective, time.Millisecond, longestCall),
		inifile.Duration("deadline", &k.deadline, time.Millisecond, longestCall),
		inifile.Float("worth", &k.worth, 0, mostWorth),
		inifile.Int("rank", &k.rank, 0, mostRank),
	}
}

// loadScenario reads a scenario file and reports its first problem.
func loadScenario(file string) (*scenario, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Trace(err)
	}
	sections, problems := inifile.Parse(file, data)
	s := &scenario{noiseFactor: 1, noisePeriod: time.Second, knee: 1, kneeFactor: 1, length: time.Minute}
	for _, section := range sections {
		switch section.Kind {
		case "site":
			problems = append(problems, inifile.Apply(section, s.siteFields())...)
		case "calls":
			k := &kind{name: section.Name}
			s.kinds = append(s.kinds, k)
			problems = append(problems, inifile.Apply(section, k.fields())...)
		default:
			problems = append(problems, section.Errorf("unknown section [%s]", section.Title()))
		}
	}
	if len(problems) > 0 {
		return nil, problems[0]
	}
	if s.servers == 0 || s.slots == 0 || len(s.kinds) == 0 {
		return nil, errors.Errorf("%s: a scenario needs servers, slots and calls", file)
	}
	return s, nil
}
