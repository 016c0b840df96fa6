// Command case3 shows that requests whose bodies are within the limit of the
// configuration make a node exceed its memory, so that the platform kills it and
// the other requests on the machine are lost.
package main

import (
	"crypto/rand"
	"fmt"
	mathrand "math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"review/standins/lab"
)

const (
	runTime = 90 * time.Second
	// largeBody is within max_body_bytes (67,108,864). usualBody is the mean of the
	// site.
	largeBody = 67_000_000
	usualBody = 4_000

	// uploadsPerSecond is the usual rate of bookings at one machine: the busiest zone
	// has 30.4 requests a second at 4 machines, a quarter of them bookings.
	uploadsPerSecond = 1.9
	// During a burst the rate is higher. A burst takes 3 s and begins each 6 s.
	burstFactor   = 1.7
	burstLength   = 3 * time.Second
	burstInterval = 6 * time.Second
	// Two readers send about 6 requests a second: the site's reads at one machine
	// are 4.8 a second, 8.2 in a burst.
	readersPerNode = 2
	workTime       = 220 * time.Millisecond
	deadline       = 2 * time.Second
)

func main() {
	site := lab.NewSite()
	var mu sync.Mutex
	running := map[string]bool{}
	for i := range 3 {
		site.AddNode(fmt.Sprintf("node-%d", i), fmt.Sprintf("zone-%d", i), "atelier-suivi", &lab.Server{
			ID: fmt.Sprintf("i-%d", i), Capacity: 9,
			Run: func(*http.Request, []byte) lab.Work { return lab.Work{Duration: workTime, Body: []byte("done\n")} },
			OnStart: func(id string, _ *http.Request, _ []byte) {
				mu.Lock()
				defer mu.Unlock()
				running[id] = true
			},
		})
	}
	site.PublishConfig([]string{"atelier-suivi"},
		lab.Rule{Name: "historique", Kind: "idempotent", Prefix: "/history/", Service: "atelier-suivi", TimeoutS: 1.5, ObjectiveS: 0.6, Priority: 2, MaxAttempts: 2},
		lab.Rule{Name: "reservation-tour", Kind: "non_idempotent", Prefix: "/booking/", Service: "atelier-suivi", TimeoutS: 1.5, ObjectiveS: 0.8, Priority: 1, MaxAttempts: 2})
	site.Launch()
	guards := map[string]*lab.MemoryGuard{}
	for _, n := range site.Nodes {
		guards[n.Name] = &lab.MemoryGuard{}
		guards[n.Name].Watch(n)
	}

	size := usualBody
	if site.Trouble {
		size = largeBody
	}
	body := make([]byte, size)
	_, _ = rand.Read(body)
	var stop atomic.Bool
	var wg sync.WaitGroup
	var sent, served, uploads, uploadsServed, lost atomic.Int64
	started := time.Now()
	for _, n := range site.Nodes {
		wg.Go(func() {
			for !stop.Load() {
				rate := uploadsPerSecond
				if time.Since(started)%burstInterval < burstLength {
					rate *= burstFactor
				}
				time.Sleep(time.Duration(mathrand.ExpFloat64() * float64(time.Second) / rate))
				wg.Go(func() {
					client := &lab.Client{Addr: n.Callers}
					defer client.Close()
					id := lab.NewID()
					site.Record.Add("client at %s: POST /booking/ %s with %d bytes", n.Name, id, size)
					uploads.Add(1)
					reply := client.Do(http.MethodPost, "/booking/x", id, body, deadline)
					if reply.Status == http.StatusOK {
						uploadsServed.Add(1)
					}
					site.Record.Add("client at %s: %s is answered %d, error %v", n.Name, id, reply.Status, reply.Err)
				})
			}
		})
		for range readersPerNode {
			wg.Go(func() {
				client := &lab.Client{Addr: n.Callers}
				defer client.Close()
				for !stop.Load() {
					time.Sleep(time.Duration(mathrand.ExpFloat64() * float64(100*time.Millisecond)))
					// A kept connection has carried a request before.
					kept := client.Conn != nil
					id := lab.NewID()
					started := time.Now()
					sent.Add(1)
					reply := client.Do(http.MethodGet, "/history/x", id, nil, deadline)
					if reply.Status == http.StatusOK {
						served.Add(1)
						continue
					}
					mu.Lock()
					passedOn := running[id]
					mu.Unlock()
					site.Record.Add("client at %s: GET %s on a kept connection: %v, run by a server: %v, answered %d, error %v", n.Name, id, kept, passedOn, reply.Status, reply.Err)
					if kept && passedOn && reply.Status == 0 && time.Since(started) < deadline-100*time.Millisecond {
						lost.Add(1)
						site.Record.Add("LOST: %s", id)
					}
				}
			})
		}
	}
	time.Sleep(runTime)
	stop.Store(true)
	wg.Wait()
	machines := 0
	for _, n := range site.Nodes {
		g := guards[n.Name]
		site.Record.Print("%s: killed for its memory %d times, peak %d MB", n.Name, g.Kills.Load(), g.PeakMB.Load())
		if g.Kills.Load() >= 3 {
			machines++
		}
	}
	site.Record.Print("bodies of %d bytes: %d sent, %d served; reads: %d sent, %d served, %d lost on kept connections", size, uploads.Load(), uploadsServed.Load(), sent.Load(), served.Load(), lost.Load())
	switch {
	case uploadsServed.Load() == 0 && machines == 0:
		site.Finish(2, "no large request was served")
	case lost.Load() > 3:
		site.Finish(1, fmt.Sprintf("rule LOST is broken; machines whose process ended three times or more: %d", machines))
	}
	site.Finish(0, "the rule held")
}
