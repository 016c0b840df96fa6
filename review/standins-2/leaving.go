package main

import (
	"fmt"
	"sync/atomic"
	"syscall"
	"time"
)

// playLeavingAfterKill: all processes are killed right after a backend's leaving was
// acknowledged, and a heartbeat of that backend arrives late. RULES.md, DRAIN: a request
// reaches a backend later than drain_s after its leaving was acknowledged.
func playLeavingAfterKill(l *lab) (bool, error) {
	const (
		drain, stability = 2 * time.Second, 3 * time.Second
		killAfter        = 500 * time.Millisecond
		downFor          = 1200 * time.Millisecond
		staleness        = 3 * time.Second
		heartbeatDelay   = 2500 * time.Millisecond
		staysFor         = 12 * time.Second
	)
	l.staleness = staleness
	s, err := l.start(config(1.5, 1.5), []string{"atelier-suivi", "atelier-suivi", "atelier-suivi"})
	if err != nil {
		return false, err
	}
	defer s.stop()
	if err := warmUpReads(s); err != nil {
		return false, err
	}
	leaving := s.nodes[0].backend
	leavingID, _ := leaving.identity()
	ended := make(chan struct{})
	defer close(ended)
	var sent, served atomic.Int64
	for i, n := range s.nodes {
		go readLoop(s, n, fmt.Sprintf("read-%d", i), 40*time.Millisecond, ended, &sent, &served)
	}
	time.Sleep(time.Second)

	// The last heartbeat before the backend leaves is held up on its way.
	leaving.silent.Store(true)
	sequence := leaving.sequence.Add(1)
	l.rec.printf("backend %s sends heartbeat %d, ready; it is late", leavingID, sequence)
	late := time.AfterFunc(heartbeatDelay, func() {
		for range 20 {
			err := leaving.heartbeat(sequence, "ready")
			l.rec.printf("heartbeat %d of %s arrives: %v", sequence, leavingID, err)
			if err == nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
	defer late.Stop()
	time.Sleep(300 * time.Millisecond)
	leaving.leaving.Store(true)
	if err := leaving.deregister(); err != nil {
		return false, err
	}
	acknowledged := time.Now()
	l.rec.printf("the leaving of %s is acknowledged", leavingID)
	restarted := acknowledged
	if l.trouble {
		time.Sleep(killAfter)
		for _, n := range s.nodes {
			n.signal(syscall.SIGKILL)
		}
		for _, n := range s.nodes {
			_ = n.cmd.Wait()
		}
		l.rec.printf("all nodes were killed, %.3f s after the acknowledgement", time.Since(acknowledged).Seconds())
		time.Sleep(downFor)
		for _, n := range s.nodes {
			if err := n.start(s); err != nil {
				return false, err
			}
		}
		restarted = time.Now()
		l.rec.printf("all nodes are started again")
	}
	time.Sleep(time.Until(acknowledged.Add(staysFor)))
	leaving.stop()
	l.rec.printf("backend %s ends", leavingID)
	time.Sleep(500 * time.Millisecond)

	bound, inTouch := acknowledged.Add(drain), restarted.Add(stability)
	violations := 0
	for _, r := range s.runs.all() {
		if r.backend == leavingID && r.at.After(bound) && r.at.After(inTouch) {
			violations++
		}
	}
	l.rec.printf("requests sent %d, served %d; requests that reached %s more than %v after the acknowledgement, from machines in touch: %d",
		sent.Load(), served.Load(), leavingID, drain, violations)
	return violations == 0, nil
}

// warmUpReads sends reads through each node until the nodes know each other.
func warmUpReads(s *site) error {
	deadline := time.Now().Add(20 * time.Second)
	for _, n := range s.nodes {
		for good := 0; good < 3; {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not serve", n.name)
			}
			c, err := dialClient(n.callers, s.rec)
			if err != nil {
				return err
			}
			e := &exchange{id: fmt.Sprintf("warm-%s-%d", n.name, time.Now().UnixNano()), path: readPath}
			if err := c.send(1500*time.Millisecond, e); err != nil {
				return err
			}
			c.receive(e)
			c.close()
			if e.status == 200 {
				good++
			} else {
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
	return nil
}

// readLoop sends a read through a node at intervals, each on a connection of its own.
func readLoop(s *site, n *node, name string, interval time.Duration, ended <-chan struct{}, sent, served *atomic.Int64) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ended:
			return
		case <-ticker.C:
		}
		go func() {
			c, err := dialClient(n.callers, s.rec)
			if err != nil {
				return
			}
			defer c.close()
			sent.Add(1)
			e := &exchange{id: fmt.Sprintf("%s-%d", name, i), path: readPath}
			_ = c.conn.SetDeadline(time.Now().Add(1500 * time.Millisecond))
			if c.send(1500*time.Millisecond, e) != nil {
				return
			}
			c.receive(e)
			if e.status == 200 && e.complete {
				served.Add(1)
			}
		}()
	}
}
