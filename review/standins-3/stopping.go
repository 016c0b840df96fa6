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
	orderWork = 200 * time.Millisecond
	// joinsAfter and stopsAfter are the times from the SIGTERM of the machine that stops
	// first to the start of the machine that joins and to its own SIGTERM.
	joinsAfter = 2200 * time.Millisecond
	stopsAfter = 4600 * time.Millisecond
	rounds     = 4
)

// playStopping stops and starts machines in turn while machines join: one that has a
// backend server of svc-b, and 4.6 s later one that has joined meanwhile and whose clients
// use svc-b. It does so with four pairs.
func playStopping(rec *record, dir string, trouble bool) (int, error) {
	const machines = 24
	s, err := newSite(rec, dir, machines, "svc-a")
	if err != nil {
		return failure, err
	}
	defer s.stop()
	s.store.staleBy = 3 * time.Second
	// Half of the machines are in each zone. The backend servers of svc-b are beside the
	// last ones. The first ones join later.
	for i, m := range s.machines {
		if i >= machines/2 {
			m.zone = "zone-b"
		}
		if i >= machines-rounds {
			m.service = "svc-b"
		}
	}
	s.publish(7, []route{{"/read/", "idempotent", 0.6, 1.5, "svc-a"}, {"/order/", "non_idempotent", 0.8, 2, "svc-b"}})
	startMachine := func(m *machine, bootstrap bool) error {
		if err := m.startBackend(12, func(string) time.Duration { return orderWork }, plainAnswer); err != nil {
			return err
		}
		return m.start(bootstrap)
	}
	for _, m := range s.machines[rounds:] {
		if err := startMachine(m, true); err != nil {
			return failure, err
		}
	}
	for _, m := range s.machines[rounds:] {
		if err := m.waitReady(30 * time.Second); err != nil {
			return failure, err
		}
	}
	time.Sleep(6 * time.Second)

	total, served, lost := 0, 0, 0
	for n := range rounds {
		entry, stopping := s.machines[n], s.machines[machines-1-n]
		started := time.Now()
		var wg sync.WaitGroup
		restart := func(m *machine) {
			m.signal(syscall.SIGTERM)
			m.waitExit(graceTime)
			time.Sleep(500 * time.Millisecond)
			if err := m.start(false); err != nil {
				rec.printf("%s: %v", m.name, err)
			}
		}
		if trouble {
			wg.Go(func() { restart(stopping) })
		}
		time.Sleep(time.Until(started.Add(joinsAfter)))
		rec.printf("%s joins, with its backend server", entry.name)
		if err := startMachine(entry, false); err != nil {
			return failure, err
		}
		if err := entry.waitReady(10 * time.Second); err != nil {
			return failure, err
		}
		termAt := started.Add(stopsAfter)
		if trouble {
			wg.Go(func() {
				time.Sleep(time.Until(termAt))
				restart(entry)
			})
		}
		results := sendOrders(entry, termAt.Add(2*time.Second))
		wg.Wait()
		for _, r := range results {
			total++
			switch {
			case r.err == nil && r.status == http.StatusOK:
				served++
				continue
			case r.err == nil && (r.status == 503 || r.status == 429):
				continue
			}
			began, ran := stopping.backend.ran(r.id)
			// The backend server was at work when the answer was given, after the SIGTERM of
			// the machine that took the request and long before the last sixth of its grace.
			atWork := ran && r.ended.Sub(began) < orderWork
			sent, ended := r.sent.Sub(termAt), r.ended.Sub(termAt)
			if trouble && atWork && ended > 0 && ended < graceTime*5/6 {
				lost++
			}
			rec.printf("finding: %s, sent to %s %.3f s and ended %.3f s after the SIGTERM of that machine; ran at %s: %v, at work at the end: %v",
				r, entry.name, sent.Seconds(), ended.Seconds(), stopping.backend.id, ran, atWork)
		}
		time.Sleep(time.Second)
	}
	rec.printf("%d requests sent, %d served; %d were given up after the SIGTERM of the machine that had taken them while their backend server was at work on them", total, served, lost)
	if served < total/2 {
		return failure, errors.New("too little was served")
	}
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}

// sendOrders sends orders to a machine, 100 each second, until a time or until the machine
// takes no new connections, and returns the results.
func sendOrders(m *machine, end time.Time) []result {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var results []result
	for k := 0; time.Now().Before(end); k++ {
		id := fmt.Sprintf("o-%s-%d", m.name, k)
		wg.Go(func() {
			r := send(m.addr(offOutbound), http.MethodPost, "/order/x", id, 2*time.Second)
			mu.Lock()
			results = append(results, r)
			mu.Unlock()
		})
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
	return results
}
