package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	drainTime   = 2 * time.Second
	stability   = 3 * time.Second
	graceTime   = 6 * time.Second
	lateBy      = 4500 * time.Millisecond
	servesAfter = 12 * time.Second
)

// playForgotten lets a backend server deregister, stops and starts all node processes
// and delivers a heartbeat that the server sent before it deregistered.
func playForgotten(rec *record, dir string, trouble bool) (int, error) {
	s, err := newSite(rec, dir, 4, "svc-a")
	if err != nil {
		return failure, err
	}
	defer s.stop()
	s.publish(7, []route{{"/read/", "idempotent", 0.6, 1.5, "svc-a"}, {"/book/", "non_idempotent", 0.8, 1.5, "svc-a"}})
	for _, m := range s.machines {
		if err := m.startBackend(8, func(string) time.Duration { return 20 * time.Millisecond }, plainAnswer); err != nil {
			return failure, err
		}
		if err := m.start(true); err != nil {
			return failure, err
		}
	}
	if err := s.waitReady(20 * time.Second); err != nil {
		return failure, err
	}
	time.Sleep(4 * time.Second)

	leaving := s.machines[0].backend
	lateSequence, lateSentAt := leaving.sequence.Add(1), time.Now()
	rec.printf("%s: sends a heartbeat (ready, sequence %d) that is delayed on its way", leaving.id, lateSequence)
	time.Sleep(50 * time.Millisecond)
	if !leaving.deregister() {
		return failure, errors.New("the deregistration was not acknowledged")
	}
	ackedAt := time.Now()
	rec.printf("%s: its deregistration is acknowledged; it goes on serving for %s", leaving.id, servesAfter)

	restartedAt := ackedAt
	if trouble {
		time.Sleep(300 * time.Millisecond)
		var wg sync.WaitGroup
		failed := make(chan error, len(s.machines))
		for _, m := range s.machines {
			m.signal(syscall.SIGTERM)
			wg.Go(func() {
				m.waitExit(graceTime)
				time.Sleep(200 * time.Millisecond)
				failed <- m.start(false)
			})
		}
		wg.Wait()
		for range s.machines {
			if err := <-failed; err != nil {
				return failure, err
			}
		}
		restartedAt = time.Now()
	}
	for i := 0; ; i++ {
		if leaving.post("heartbeat", leaving.body("ready", lateSequence)) {
			break
		}
		if i == 2000 {
			return failure, errors.New("the late heartbeat could not be delivered")
		}
		time.Sleep(2 * time.Millisecond)
	}
	rec.printf("%s: the delayed heartbeat arrives, %.1f s after it was sent", leaving.id, time.Since(lateSentAt).Seconds())
	if err := s.waitReady(10 * time.Second); err != nil {
		return failure, err
	}
	// All machines are in touch from here on.
	inTouchAt := restartedAt.Add(stability + 200*time.Millisecond)
	if !trouble {
		inTouchAt = ackedAt.Add(drainTime)
	}
	time.Sleep(max(0, time.Until(inTouchAt)))
	rec.printf("all machines are in touch")
	late, sent, served := 0, 0, 0
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, m := range s.machines {
		for j := range 2 {
			wg.Go(func() {
				for k := 0; time.Since(ackedAt) < servesAfter-500*time.Millisecond; k++ {
					method, path := http.MethodGet, "/read/x"
					if k%2 == 1 {
						method, path = http.MethodPost, "/book/x"
					}
					id := fmt.Sprintf("q-%d-%d-%d", i, j, k)
					r := send(m.addr(offOutbound), method, path, id, 1500*time.Millisecond)
					at, ran := leaving.ran(id)
					mu.Lock()
					sent++
					if r.status == 200 {
						served++
					}
					if ran && at.Sub(ackedAt) > drainTime {
						late++
						if late <= 10 {
							rec.printf("client: %s, sent to %s, ran at %s %.3f s after its deregistration was acknowledged", r, m.name, leaving.id, at.Sub(ackedAt).Seconds())
						}
					}
					mu.Unlock()
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	wg.Wait()
	rec.printf("%d requests sent by machines in touch, %d served, %d reached %s later than %s after the acknowledgement", sent, served, late, leaving.id, drainTime)
	if served == 0 {
		return failure, errors.New("nothing was served")
	}
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
