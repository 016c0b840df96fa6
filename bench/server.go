package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/localapi"
)

const (
	// workSpread is the relative width of the work of single calls.
	workSpread = 0.4
	// workStep is how much of the work is done at one speed.
	workStep = 3 * time.Millisecond
	// failFastAfter is how long a server that fails fast takes for an answer.
	failFastAfter = 200 * time.Microsecond
	// announcePeriod is short, so that the reported load that the twochoices
	// policy uses is as fresh as a server can make it.
	announcePeriod = 100 * time.Millisecond
	// staleReportAge is the age of the reports of a server that lags.
	staleReportAge = time.Second
)

// behaviour is how a backend server acts during one run.
type behaviour struct {
	// slow multiplies every service time.
	slow float64
	// neighbour adds bursts of five times the service time.
	neighbour bool
	// failing answers every call with 500 at once.
	failing bool
	// falseReport announces an idle server.
	falseReport bool
	// staleReport announces the load of a second ago.
	staleReport bool
}

// swings lists the factors that a shared host puts on the service time; one is
// drawn every 5 to 50 ms.
var swings = [...]float64{1, 1, 1, 1, 2, 2, 3, 5}

// swingMean is the harmonic mean of swings: a slow server ends fewer calls, so
// the mean speed, not the mean service time, gives the capacity.
const swingMean = 1.445

// backendServer is a small HTTP server with slots and a swinging speed.
type backendServer struct {
	instance string
	service  string
	slots    chan struct{}
	// baseWork is the service time of a call on an undisturbed server.
	baseWork time.Duration
	busy     atomic.Int64
	received atomic.Uint64
	// factor is the present factor of the service time in thousandths.
	factor      atomic.Int64
	behaviour   atomic.Pointer[behaviour]
	coldUntil   atomic.Int64 // Unix nanoseconds
	incarnation atomic.Uint64
	away        atomic.Bool
	addr        string
	local       string
	http        *http.Server
}

func newBackendServer(instance, service string, slots int, work time.Duration, local string) (*backendServer, error) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	s := &backendServer{
		instance: instance, service: service, slots: make(chan struct{}, slots),
		baseWork: work, addr: socket.Addr().String(), local: local,
	}
	s.incarnation.Store(uint64(time.Now().UnixNano()))
	s.behaviour.Store(&behaviour{slow: 1})
	s.factor.Store(1000)
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Second}
	go func() { _ = s.http.Serve(socket) }()
	return s, nil
}

// swing draws the factor anew every 5 to 50 ms.
func (s *backendServer) swing(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	var burstUntil time.Time
	for ctx.Err() == nil {
		factor := swings[random.IntN(len(swings))]
		if s.behaviour.Load().neighbour {
			if random.IntN(20) == 0 {
				burstUntil = time.Now().Add(time.Duration(100+random.IntN(300)) * time.Millisecond)
			}
			if time.Now().Before(burstUntil) {
				factor *= 5
			}
		}
		s.factor.Store(int64(factor * 1000))
		pause(ctx, time.Duration(5+random.IntN(46))*time.Millisecond)
	}
}

func (s *backendServer) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	s.received.Add(1)
	s.busy.Add(1)
	defer s.busy.Add(-1)
	if s.behaviour.Load().failing {
		time.Sleep(failFastAfter)
		http.Error(w, "failing", http.StatusInternalServerError)
		return
	}
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slots }()
	if s.work(r.Context()) {
		_, _ = io.WriteString(w, s.instance+"\n")
	}
}

// work holds a slot until the work of a call is done at the changing speed.
func (s *backendServer) work(ctx context.Context) bool {
	spread := 1 - workSpread/2 + workSpread*rand.Float64()
	left := time.Duration(spread * float64(s.baseWork))
	for left > 0 {
		factor := s.slowness()
		step := min(left, workStep)
		if !pause(ctx, time.Duration(float64(step)*factor)) {
			return false
		}
		left -= step
	}
	return true
}

// coldFor is how long a restarted server is slower, fading out.
const coldFor = 2 * time.Second

func (s *backendServer) slowness() float64 {
	factor := float64(s.factor.Load()) / 1000 * s.behaviour.Load().slow
	if left := time.Until(time.Unix(0, s.coldUntil.Load())); left > 0 {
		factor *= 1 + 4*left.Seconds()/coldFor.Seconds()
	}
	return factor
}

// restart takes the server away for a moment and brings it back cold.
func (s *backendServer) restart(ctx context.Context) {
	s.away.Store(true)
	s.post(ctx, "/v1/leave", nil)
	pause(ctx, 300*time.Millisecond)
	s.incarnation.Store(uint64(time.Now().UnixNano()))
	s.coldUntil.Store(time.Now().Add(coldFor).UnixNano())
	s.away.Store(false)
}

// announce repeats the announcement until ctx ends.
func (s *backendServer) announce(ctx context.Context) {
	old := make([]uint32, staleReportAge/announcePeriod)
	for i := 0; ctx.Err() == nil; i++ {
		load := uint32(s.busy.Load())
		reported := load
		b := s.behaviour.Load()
		switch {
		case b.falseReport:
			reported = 0
		case b.staleReport:
			reported = old[i%len(old)]
		}
		old[i%len(old)] = load
		if !s.away.Load() {
			s.announceOnce(ctx, reported)
		}
		pause(ctx, announcePeriod)
	}
}

func (s *backendServer) announceOnce(ctx context.Context, reported uint32) {
	body, err := json.Marshal(localapi.Announcement{
		Service: s.service, Addr: s.addr, Slots: uint32(cap(s.slots)), Connections: 200,
		Incarnation: s.incarnation.Load(), InFlight: reported,
	})
	if err == nil {
		s.post(ctx, "/v1/announce", body)
	}
}

// post tells the node something; a lost message is repeated by the next one.
func (s *backendServer) post(ctx context.Context, path string, body []byte) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.local+path, bytes.NewReader(body))
	if err != nil {
		return
	}
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

// pause sleeps and reports false when ctx ended before.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
