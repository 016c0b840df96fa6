package main

import (
	"fmt"
	"syscall"
	"time"
)

// warmUp sends requests of both routes until the nodes know each other.
func warmUp(s *site, entry *node) error {
	deadline := time.Now().Add(20 * time.Second)
	for good := 0; good < 20; {
		if time.Now().After(deadline) {
			return fmt.Errorf("the site does not serve")
		}
		for _, path := range []string{downloadPath, readPath} {
			c, err := dialClient(entry.callers, s.rec)
			if err != nil {
				return err
			}
			e := &exchange{id: fmt.Sprintf("warm-%d", time.Now().UnixNano()), path: path}
			if err := c.send(2*time.Second, e); err == nil {
				c.receive(e)
			}
			c.close()
			if e.status == 200 && e.complete {
				good++
			} else {
				good = 0
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
	time.Sleep(500 * time.Millisecond)
	return nil
}

// awaitBodies waits until at least min answers of one backend have begun and not ended,
// and returns that backend.
func awaitBodies(downloads []*exchange, min int, limit time.Duration) string {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); {
		byBackend := map[string]int{}
		for _, e := range downloads {
			if e.inBody() {
				byBackend[e.signer()]++
				if byBackend[e.signer()] >= min {
					return e.signer()
				}
			}
		}
		time.Sleep(100 * time.Microsecond)
	}
	return ""
}

func (s *site) nodeOf(backendID string) *node {
	for _, n := range s.nodes {
		if n.backend.id == backendID {
			return n
		}
	}
	return nil
}

// playSilentExecutor: the machine beside a backend loses its power while answers are on
// their way from there to the machine of the clients. RULES.md, CONFIG: of the requests
// that are unanswered at timeout_s, more than half have no answer half a second later.
func playSilentExecutor(l *lab) (bool, error) {
	const timeout, darkFor, watched = 1500 * time.Millisecond, 3500 * time.Millisecond, 20 * time.Second
	s, err := l.start(config(timeout.Seconds(), 1.5), twoServices)
	if err != nil {
		return false, err
	}
	defer s.stop()
	entry := s.nodes[0]
	if err := warmUp(s, entry); err != nil {
		return false, err
	}
	var downloads []*exchange
	for i := range 16 {
		c, err := dialClient(entry.callers, l.rec)
		if err != nil {
			return false, err
		}
		defer c.close()
		e := &exchange{id: fmt.Sprintf("download-%d", i), path: downloadPath}
		downloads = append(downloads, e)
		if err := c.send(30*time.Second, e); err != nil {
			return false, err
		}
		go c.receive(e)
	}
	if l.trouble {
		backendID := awaitBodies(downloads, 5, timeout)
		if backendID == "" {
			return false, fmt.Errorf("no moment with five answers under way from one backend")
		}
		lost := s.nodeOf(backendID)
		lost.relay.setDark(true)
		lost.kill()
		l.rec.printf("%s, beside backend %s, has lost its power", lost.name, backendID)
		time.AfterFunc(darkFor, func() {
			lost.relay.setDark(false)
			_ = lost.start(s)
			l.rec.printf("%s has started again", lost.name)
		})
	}
	time.Sleep(time.Until(downloads[len(downloads)-1].sentAt.Add(timeout + 600*time.Millisecond)))
	open, late := 0, 0
	for _, e := range downloads {
		if e.endedBy(e.sentAt.Add(timeout)) {
			continue
		}
		open++
		if !e.endedBy(e.sentAt.Add(timeout + 500*time.Millisecond)) {
			late++
		}
	}
	l.rec.printf("unanswered at timeout_s: %d, of these without an answer 0.5 s later: %d", open, late)
	if l.trouble {
		time.Sleep(watched)
		for _, e := range downloads {
			if !e.endedBy(time.Now()) {
				l.rec.printf("after %.0f s: %s", time.Since(e.sentAt).Seconds(), e)
			}
		}
	}
	return late*2 <= open, nil
}

// playPipelineBehindDownload: the node beside a backend is killed while answers are on
// their way from there. RULES.md, LOST: a machine in touch passes a request from a kept
// connection on to a sound backend and closes that connection without an answer, more
// than three times.
func playPipelineBehindDownload(l *lab) (bool, error) {
	s, err := l.start(config(1.5, 1.5), twoServices)
	if err != nil {
		return false, err
	}
	defer s.stop()
	entry := s.nodes[0]
	if err := warmUp(s, entry); err != nil {
		return false, err
	}
	var conns []*clientConn
	for i := range 18 {
		c, err := dialClient(entry.callers, l.rec)
		if err != nil {
			return false, err
		}
		defer c.close()
		first := &exchange{id: fmt.Sprintf("first-%d", i), path: readPath}
		if err := c.send(1500*time.Millisecond, first); err != nil {
			return false, err
		}
		c.receive(first)
		conns = append(conns, c)
	}
	var downloads, reads []*exchange
	done := make(chan struct{}, len(conns))
	for i, c := range conns {
		download := &exchange{id: fmt.Sprintf("download-%d", i), path: downloadPath}
		read := &exchange{id: fmt.Sprintf("read-%d", i), path: readPath}
		downloads, reads = append(downloads, download), append(reads, read)
		if err := c.send(1500*time.Millisecond, download, read); err != nil {
			return false, err
		}
		go func() {
			c.receive(download, read)
			done <- struct{}{}
		}()
	}
	disturbed := ""
	if l.trouble {
		disturbed = awaitBodies(downloads, 7, 1500*time.Millisecond)
		if disturbed == "" {
			return false, fmt.Errorf("no moment with seven answers under way from one backend")
		}
		s.nodeOf(disturbed).signal(syscall.SIGKILL)
		l.rec.printf("the node beside backend %s is killed", disturbed)
	}
	for range conns {
		select {
		case <-done:
		case <-time.After(5 * time.Second):
			return false, fmt.Errorf("connections stay open")
		}
	}
	ran := map[string]string{}
	for _, r := range s.runs.all() {
		ran[r.id] = r.backend
	}
	lost := 0
	for _, e := range reads {
		backendID := ran[e.id]
		if !e.complete && backendID != "" && backendID != disturbed {
			lost++
			l.rec.printf("lost: %s was passed on to %s, and its connection was closed without an answer", e.id, backendID)
		}
	}
	l.rec.printf("requests passed on to a sound backend without an answer: %d", lost)
	return lost <= 3, nil
}
