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
	reportWork     = 1500 * time.Millisecond
	reportTarget   = 30 * time.Second
	reportDeadline = 40 * time.Second
	lossSlack      = 200 * time.Millisecond
)

// playQueued stops one node process gracefully while requests wait for a slot of the
// backend servers.
func playQueued(rec *record, dir string, trouble bool) (int, error) {
	s, err := newSite(rec, dir, 3, "svc-a")
	if err != nil {
		return failure, err
	}
	defer s.stop()
	s.publish(7, []route{
		{"/report/", "idempotent", reportTarget.Seconds(), reportDeadline.Seconds(), "svc-a"},
		{"/order/", "non_idempotent", reportTarget.Seconds(), reportDeadline.Seconds(), "svc-a"},
	})
	for _, m := range s.machines {
		if err := m.startBackend(2, func(string) time.Duration { return reportWork }, plainAnswer); err != nil {
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

	stopped := s.machines[0]
	started := time.Now()
	termAt := started.Add(16 * time.Second)
	end := started.Add(22 * time.Second)
	// The platform's readiness check: two misses take a machine out.
	out := make(chan struct{})
	go func() {
		for misses := 0; misses < 2; time.Sleep(time.Second) {
			if stopped.ready() {
				misses = 0
			} else {
				misses++
			}
		}
		rec.printf("%s: two readiness checks were missed, its clients get no new work", stopped.name)
		close(out)
	}()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var results []result
	at := map[string]string{}
	for i, m := range s.machines {
		wg.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				if m == stopped {
					select {
					case <-out:
						return
					default:
					}
				}
				method, path := http.MethodGet, "/report/x"
				if k%2 == 1 {
					method, path = http.MethodPost, "/order/x"
				}
				id := fmt.Sprintf("q-%d-%d", i, k)
				wg.Go(func() {
					r := send(m.addr(offOutbound), method, path, id, reportDeadline)
					mu.Lock()
					results, at[id] = append(results, r), m.name
					mu.Unlock()
				})
				time.Sleep(350 * time.Millisecond)
			}
		})
	}
	if trouble {
		time.Sleep(time.Until(termAt))
		stopped.signal(syscall.SIGTERM)
		stopped.waitExit(graceTime)
		time.Sleep(500 * time.Millisecond)
		if err := stopped.start(false); err != nil {
			return failure, err
		}
	}
	wg.Wait()
	lost, served, refused := 0, 0, 0
	for _, r := range results {
		switch {
		case r.err == nil && r.status == 200:
			served++
			continue
		case r.err == nil:
			refused++
			continue
		case at[r.id] != stopped.name || r.ended.Sub(r.sent) < lossSlack || r.ended.Sub(r.sent) >= reportDeadline:
			rec.printf("client at %s: %s", at[r.id], r)
			continue
		}
		ran := false
		for _, m := range s.machines {
			if began, ok := m.backend.ran(r.id); ok && began.Before(r.ended) {
				ran = true
			}
		}
		rec.printf("client at %s: %s, sent %.3f s after the SIGTERM; it had begun to run: %v", at[r.id], r, r.sent.Sub(termAt).Seconds(), ran)
		if !ran {
			lost++
		}
	}
	rec.printf("%d requests sent, %d served, %d answered otherwise; %d were accepted by %s before it ended, had not begun to run and got no answer", len(results), served, refused, lost, stopped.name)
	if served == 0 {
		return failure, errors.New("nothing was served")
	}
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}
