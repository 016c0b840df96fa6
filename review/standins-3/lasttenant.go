package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const revokeTime = 5 * time.Second

// playLastTenant takes the only tenant away while its clients go on.
func playLastTenant(rec *record, dir string, trouble bool) (int, error) {
	s, err := newSite(rec, dir, 3, "svc-a")
	if err != nil {
		return failure, err
	}
	defer s.stop()
	s.extraSettings = "strict_revocation = yes\nrevocation_time = 5s\nquota_window = 5s\nquota_overshoot = 0.1\nquota_slack = 20\n"
	const key = "key-of-tenant-one"
	routes := []route{{"/read/", "idempotent", 0.6, 1.5, "svc-a"}, {"/book/", "non_idempotent", 0.8, 1.5, "svc-a"}}
	s.tenants = []tenant{{Name: "tenant-one", APIKeys: []string{key}}}
	s.publish(7, routes)
	var mu sync.Mutex
	passedOn := map[string]string{}
	for _, m := range s.machines {
		if err := m.startBackend(8, func(string) time.Duration { return 20 * time.Millisecond }, plainAnswer); err != nil {
			return failure, err
		}
		m.backend.onRun = func(id string, req *http.Request, _ []byte) {
			mu.Lock()
			defer mu.Unlock()
			passedOn[id] = fmt.Sprintf("X-Mangostand-Tenant %q, Authorization %q", req.Header.Get("X-Mangostand-Tenant"), req.Header.Get("Authorization"))
		}
		if err := m.start(true); err != nil {
			return failure, err
		}
	}
	if err := s.waitReady(20 * time.Second); err != nil {
		return failure, err
	}
	time.Sleep(4 * time.Second)

	changeAt, end := time.Now().Add(2*time.Second), time.Now().Add(12*time.Second)
	var results []result
	var wg sync.WaitGroup
	for i, m := range s.machines {
		wg.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				method, path := http.MethodGet, "/read/x"
				if k%2 == 1 {
					method, path = http.MethodPost, "/book/x"
				}
				id := fmt.Sprintf("q-%d-%d", i, k)
				text := requestText(method, path, id, 1500*time.Millisecond)
				text = strings.TrimSuffix(text, "\r\n") + "Authorization: Bearer " + key + "\r\n\r\n"
				r := sendText(m.addr(offOutbound), method, text, id, 1500*time.Millisecond)
				mu.Lock()
				results = append(results, r)
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Until(changeAt))
	if trouble {
		s.tenants = []tenant{}
	}
	s.publish(8, routes)
	ackedAt := time.Now()
	wg.Wait()

	before, ran, refused := 0, 0, 0
	for _, r := range results {
		sent := r.sent.Sub(ackedAt)
		how, run := passedOn[r.id]
		switch {
		case sent < 0:
			if r.err == nil && r.status == http.StatusOK {
				before++
			}
		case sent > revokeTime && run:
			ran++
			if ran <= 10 {
				rec.printf("client: %s, sent %.3f s after the acknowledgement of r8; it ran, with %s", r, sent.Seconds(), how)
			}
		case sent > revokeTime:
			refused++
		}
	}
	rec.printf("%d requests with the key served before r8; of those sent later than %s after its acknowledgement %d ran and %d did not", before, revokeTime, ran, refused)
	if before == 0 {
		return failure, errors.New("nothing was served before the change")
	}
	if !trouble {
		// The key is still there, and its requests have to run.
		if ran == 0 {
			return failure, errors.New("a valid key was refused")
		}
		return held, nil
	}
	if ran > 0 {
		return broken, nil
	}
	return held, nil
}
