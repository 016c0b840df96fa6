package main

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// historyBytes is the size of an answer on the route /history/, in bytes. The link of a
	// machine carries it in 0.24 s.
	historyBytes = 300_000
	// readsBehind is the number of requests that a client sends behind one to /history/.
	readsBehind = 4
)

// largeAnswer answers /history/ with historyBytes and other paths with a short body.
func largeAnswer(b *backend, c net.Conn, id, path string) {
	if !strings.HasPrefix(path, "/history/") {
		plainAnswer(b, c, id, path)
		return
	}
	body := strings.Repeat(answerBody(id), historyBytes/len(answerBody(id)))
	_, _ = fmt.Fprint(c, b.answerHead(id, len(body))+body)
}

// playPipelined kills the node process of one machine while clients of the others wait
// for large answers with further requests behind them.
func playPipelined(rec *record, dir string, trouble bool) (int, error) {
	s, err := newSite(rec, dir, 5, "svc-a")
	if err != nil {
		return failure, err
	}
	s.linkMbps = 10
	s.machines[0].service, s.machines[1].service = "svc-b", "svc-b"
	defer s.stop()
	s.publish(7, []route{{"/read/", "idempotent", 0.6, 1.5, "svc-a"}, {"/history/", "idempotent", 1.5, 3, "svc-b"}})
	for _, m := range s.machines {
		if err := m.startBackend(8, func(string) time.Duration { return 30 * time.Millisecond }, largeAnswer); err != nil {
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

	killed := s.machines[0]
	started := time.Now()
	end := started.Add(8 * time.Second)
	var mu sync.Mutex
	var wg sync.WaitGroup
	lost, sent, answered := 0, 0, 0
	for i, m := range s.machines[2:] {
		for j := range 4 {
			wg.Go(func() {
				for k := 0; time.Now().Before(end); k++ {
					paths, ids := []string{"/history/x"}, []string{fmt.Sprintf("h-%d-%d-%d", i, j, k)}
					for n := range readsBehind {
						paths, ids = append(paths, "/read/x"), append(ids, fmt.Sprintf("r-%d-%d-%d-%d", i, j, k, n))
					}
					results := pipeline(m.addr(offOutbound), paths, ids, 3*time.Second)
					mu.Lock()
					for n, r := range results {
						sent++
						if r.err == nil {
							answered++
						}
						if r.err == nil && r.status == 200 {
							want := answerBody(r.id)
							if n == 0 {
								want = strings.Repeat(want, historyBytes/len(want))
							}
							if r.body != want {
								rec.printf("client: %s: a body that is not the backend's", r)
							}
							continue
						}
						rec.printf("client at %s: %s", m.name, r)
						if n == 0 || r.err == nil {
							continue
						}
						if b := s.ranAtSound(r.id, killed); b != nil {
							lost++
							rec.printf("  %s ran at %s, a sound backend; the connection ended without an answer", r.id, b.id)
						}
					}
					mu.Unlock()
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
	if trouble {
		time.Sleep(time.Until(started.Add(3 * time.Second)))
		// A large answer takes at least 0.24 s on the link of the machine.
		for before := killed.backend.count(); killed.backend.count() == before; {
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(130 * time.Millisecond)
		killed.signal(syscall.SIGKILL)
		<-killed.exited
		time.Sleep(time.Second)
		if err := killed.start(false); err != nil {
			return failure, err
		}
	}
	wg.Wait()
	rec.printf("%d requests sent, %d answered; %d ran at a sound backend and their connection, to a machine in touch, was closed without an answer (3 are allowed)", sent, answered, lost)
	if answered < sent/2 {
		return failure, errors.New("too little was answered")
	}
	if lost > 3 {
		return broken, nil
	}
	return held, nil
}

// ranAtSound returns the backend server, other than that of a machine, at which a request
// ran, or nil.
func (s *site) ranAtSound(id string, without *machine) *backend {
	for _, m := range s.machines {
		if _, ran := m.backend.ran(id); ran && m != without {
			return m.backend
		}
	}
	return nil
}
