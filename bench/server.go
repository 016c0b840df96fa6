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
	// serviceTimeSpread is the width of the uniform distribution of the calls'
	// service times, relative to the base service time.
	serviceTimeSpread = 0.4
	// serviceTimeStep is the part of a service time after which a call reads the
	// slowdown again.
	serviceTimeStep = 3 * time.Millisecond
	// failFastDelay is the response time of a server that fails fast.
	failFastDelay = 200 * time.Microsecond
	// announcementInterval is shorter than the usual second, so that the load
	// reports that the twochoices policy uses are fresh.
	announcementInterval = 100 * time.Millisecond
	// staleLoadAge is the age of the load that a server with reportsStaleLoad
	// announces.
	staleLoadAge = time.Second
)

// behaviour describes the faults of a backend server during a run.
type behaviour struct {
	// slowdown multiplies every service time.
	slowdown float64
	// noisyNeighbour adds bursts of 100 to 400 ms in which service times are five
	// times as long.
	noisyNeighbour bool
	// failsFast responds to every call with status 500 after failFastDelay.
	failsFast bool
	// reportsNoLoad announces zero calls in flight.
	reportsNoLoad bool
	// reportsStaleLoad announces the load as it was staleLoadAge ago.
	reportsStaleLoad bool
}

// serviceTimeFactors are the equally likely factors by which contention on a
// shared host lengthens service times. A server draws one every 5 to 50 ms.
var serviceTimeFactors = [...]float64{1, 1, 1, 1, 2, 2, 3, 5}

// meanServiceTimeFactor is the harmonic mean of serviceTimeFactors. The capacity
// follows from the mean speed, not from the mean service time, because a server
// completes fewer calls while it is slow.
const meanServiceTimeFactor = 1.445

// backendServer is a small HTTP server with a limited number of slots and a
// varying speed.
type backendServer struct {
	instance string
	service  string
	slots    chan struct{}
	// baseServiceTime is the mean service time without any slowdown.
	baseServiceTime time.Duration
	inFlight        atomic.Int64
	received        atomic.Uint64
	// serviceTimeFactorMilli is the current service time factor times 1000.
	serviceTimeFactorMilli atomic.Int64
	behaviour              atomic.Pointer[behaviour]
	slowStartUntil         atomic.Int64 // Unix nanoseconds
	incarnation            atomic.Uint64
	unavailable            atomic.Bool
	addr                   string
	localAPIURL            string
	httpServer             *http.Server
}

func newBackendServer(instance, service string, slots int, serviceTime time.Duration, localAPIURL string) (*backendServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	s := &backendServer{
		instance: instance, service: service, slots: make(chan struct{}, slots),
		baseServiceTime: serviceTime, addr: listener.Addr().String(), localAPIURL: localAPIURL,
	}
	s.incarnation.Store(uint64(time.Now().UnixNano()))
	s.behaviour.Store(&behaviour{slowdown: 1})
	s.serviceTimeFactorMilli.Store(1000)
	s.httpServer = &http.Server{Handler: http.HandlerFunc(s.handleCall), ReadHeaderTimeout: time.Second}
	go func() { _ = s.httpServer.Serve(listener) }()
	return s, nil
}

// varyServiceTime draws a new service time factor every 5 to 50 ms until ctx
// ends.
func (s *backendServer) varyServiceTime(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	var burstUntil time.Time
	for ctx.Err() == nil {
		factor := serviceTimeFactors[rng.IntN(len(serviceTimeFactors))]
		if s.behaviour.Load().noisyNeighbour {
			if rng.IntN(20) == 0 {
				burstUntil = time.Now().Add(time.Duration(100+rng.IntN(300)) * time.Millisecond)
			}
			if time.Now().Before(burstUntil) {
				factor *= 5
			}
		}
		s.serviceTimeFactorMilli.Store(int64(factor * 1000))
		sleep(ctx, time.Duration(5+rng.IntN(46))*time.Millisecond)
	}
}

func (s *backendServer) handleCall(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	s.received.Add(1)
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if s.behaviour.Load().failsFast {
		time.Sleep(failFastDelay)
		http.Error(w, "failing", http.StatusInternalServerError)
		return
	}
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slots }()
	if s.processCall(r.Context()) {
		_, _ = io.WriteString(w, s.instance+"\n")
	}
}

// processCall waits for the service time of a call at the varying speed, and
// reports false if ctx ended first. The caller holds a slot.
func (s *backendServer) processCall(ctx context.Context) bool {
	factor := 1 - serviceTimeSpread/2 + serviceTimeSpread*rand.Float64()
	remaining := time.Duration(factor * float64(s.baseServiceTime))
	for remaining > 0 {
		slowdown := s.currentSlowdown()
		step := min(remaining, serviceTimeStep)
		if !sleep(ctx, time.Duration(float64(step)*slowdown)) {
			return false
		}
		remaining -= step
	}
	return true
}

// slowStartDuration is how long a restarted server is slower: five times at
// first, then linearly less.
const slowStartDuration = 2 * time.Second

func (s *backendServer) currentSlowdown() float64 {
	slowdown := float64(s.serviceTimeFactorMilli.Load()) / 1000 * s.behaviour.Load().slowdown
	if remaining := time.Until(time.Unix(0, s.slowStartUntil.Load())); remaining > 0 {
		slowdown *= 1 + 4*remaining.Seconds()/slowStartDuration.Seconds()
	}
	return slowdown
}

// restart announces that the server leaves, stops the announcements for 300 ms
// and returns with a new incarnation and a slow start.
func (s *backendServer) restart(ctx context.Context) {
	s.unavailable.Store(true)
	s.postToNode(ctx, "/v1/leave", nil)
	sleep(ctx, 300*time.Millisecond)
	s.incarnation.Store(uint64(time.Now().UnixNano()))
	s.slowStartUntil.Store(time.Now().Add(slowStartDuration).UnixNano())
	s.unavailable.Store(false)
}

// sendAnnouncements announces the server periodically until ctx ends.
func (s *backendServer) sendAnnouncements(ctx context.Context) {
	recentLoads := make([]uint32, staleLoadAge/announcementInterval)
	for i := 0; ctx.Err() == nil; i++ {
		inFlight := uint32(s.inFlight.Load())
		reported := inFlight
		b := s.behaviour.Load()
		switch {
		case b.reportsNoLoad:
			reported = 0
		case b.reportsStaleLoad:
			reported = recentLoads[i%len(recentLoads)]
		}
		recentLoads[i%len(recentLoads)] = inFlight
		if !s.unavailable.Load() {
			s.sendAnnouncement(ctx, reported)
		}
		sleep(ctx, announcementInterval)
	}
}

func (s *backendServer) sendAnnouncement(ctx context.Context, reportedInFlight uint32) {
	body, err := json.Marshal(localapi.Announcement{
		Service: s.service, Addr: s.addr, Slots: uint32(cap(s.slots)), Connections: 200,
		Incarnation: s.incarnation.Load(), InFlight: reportedInFlight,
	})
	if err == nil {
		s.postToNode(ctx, "/v1/announce", body)
	}
}

// postToNode sends a message to the local API of the node. Failures are ignored:
// the next announcement replaces a lost one.
func (s *backendServer) postToNode(ctx context.Context, path string, body []byte) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.localAPIURL+path, bytes.NewReader(body))
	if err != nil {
		return
	}
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
