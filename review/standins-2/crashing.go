package main

import (
	"fmt"
	"os"
	"sync/atomic"
	"time"
)

// crashPath is the path of a request that crashes each backend that runs it.
const crashPath = "/lohu930/crash"

// playCrashingRequest: a request crashes each backend that runs it, while the backend
// sends its answer. RULES.md, BUDGET: such a request reaches backends in more than three
// retries that were sent later than stability_window_s after it has crashed the third.
func playCrashingRequest(l *lab) (bool, error) {
	const (
		stability  = 3 * time.Second
		retryEvery = time.Second
		backAfter  = 3 * time.Second
		lasts      = 40 * time.Second
	)
	s, err := l.start(config(1.5, 1.5), []string{"atelier-suivi", "atelier-suivi", "atelier-suivi", "atelier-suivi", "atelier-suivi", "atelier-suivi"})
	if err != nil {
		return false, err
	}
	defer s.stop()
	if l.trouble {
		for _, n := range s.nodes {
			n.backend.backAfter = backAfter
			n.backend.beforeAnswer = os.Getenv("BEFORE_ANSWER") == "1"
		}
	}
	if err := warmUpReads(s); err != nil {
		return false, err
	}
	var sent, served atomic.Int64
	ended := make(chan struct{})
	defer close(ended)
	for i, n := range s.nodes {
		go readLoop(s, n, fmt.Sprintf("read-%d", i), 200*time.Millisecond, ended, &sent, &served)
	}
	sentAt := map[string]time.Time{}
	started := time.Now()
	for i := 0; time.Since(started) < lasts; i++ {
		n := s.nodes[i%len(s.nodes)]
		c, err := dialClient(n.callers, l.rec)
		if err != nil {
			return false, err
		}
		e := &exchange{id: fmt.Sprintf("crash-%d", i), path: crashPath}
		sentAt[e.id] = time.Now()
		if err := c.send(1500*time.Millisecond, e); err != nil {
			return false, err
		}
		c.receive(e)
		c.close()
		time.Sleep(time.Until(sentAt[e.id].Add(retryEvery)))
	}
	crashes := s.crashTimes()
	l.rec.printf("the request has crashed backends %d times; of %d other requests %d were served", len(crashes), sent.Load(), served.Load())
	if len(crashes) < 3 {
		return true, nil
	}
	bound, late := crashes[2].Add(stability), map[string]bool{}
	for _, r := range s.runs.all() {
		if at, ok := sentAt[r.id]; ok && at.After(bound) {
			late[r.id] = true
		}
	}
	l.rec.printf("retries that reached backends, sent more than %v after the third crash: %d", stability, len(late))
	return len(late) <= 3, nil
}
