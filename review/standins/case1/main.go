// Command case1 shows that the answer to a health check can be taken for the
// answer to a call: a caller is told 503 although its call runs.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"review/standins/lab"
)

const (
	// The disruption comes in windows. In each one, one of the nine servers says that
	// it is ill (6.5 s), and five of the nine, that one among them, send a second copy
	// of 3 in 100 of their answers, late (5 s). The services take turns.
	windows      = 14
	windowLength = 6600 * time.Millisecond
	falseHealth  = 6500 * time.Millisecond
	extraAnswers = 5 * time.Second
	extraShare   = 0.03
	garbling     = 5

	workTime       = 290 * time.Millisecond
	clientsPerNode = 4
	meanPause      = 380 * time.Millisecond
	deadline       = 2 * time.Second
)

type attempt struct {
	booking string
	status  int
	starts  int
}

func main() {
	site := lab.NewSite()
	var mu sync.Mutex
	attempts := map[string]*attempt{}
	get := func(id string) *attempt {
		if attempts[id] == nil {
			attempts[id] = &attempt{}
		}
		return attempts[id]
	}
	// falseServer is the server that says it is ill, -1 for none.
	var falseServer atomic.Int64
	var extra atomic.Bool
	falseServer.Store(-1)
	// Six servers of the first service and three of the second, as on the site.
	services := []string{"atelier-suivi", "plan-depot"}
	for i := range 9 {
		server := &lab.Server{
			ID: fmt.Sprintf("i-%d", i), Capacity: 9,
			Run: func(*http.Request, []byte) lab.Work { return lab.Work{Duration: workTime, Body: []byte("booked\n")} },
			OnStart: func(id string, _ *http.Request, _ []byte) {
				mu.Lock()
				defer mu.Unlock()
				get(id).starts++
			},
			Health: func() int {
				if falseServer.Load() == int64(i) {
					return http.StatusServiceUnavailable
				}
				return http.StatusOK
			},
		}
		if i < garbling {
			server.Extra = func() bool { return extra.Load() && rand.Float64() < extraShare }
		}
		service := services[0]
		if i%3 == 2 {
			service = services[1]
		}
		site.AddNode(fmt.Sprintf("node-%d", i), fmt.Sprintf("zone-%d", i/3), service, server)
	}
	rule := lab.Rule{Name: "reservation-tour", Kind: "non_idempotent", Prefix: "/booking/0/", Service: services[0], TimeoutS: 1.2, ObjectiveS: 0.8, Priority: 1, MaxAttempts: 2}
	second := rule
	second.Name, second.Prefix, second.Service = "liberation", "/booking/1/", services[1]
	site.PublishConfig(services, rule, second)
	site.Launch()

	var stop atomic.Bool
	var wg sync.WaitGroup
	for _, n := range site.Nodes {
		for range clientsPerNode {
			wg.Go(func() {
				client := &lab.Client{Addr: n.Callers}
				defer client.Close()
				for !stop.Load() {
					time.Sleep(time.Duration(rand.ExpFloat64() * float64(meanPause)))
					booking := lab.NewID()
					path := fmt.Sprintf("/booking/%d/%s", rand.IntN(2), booking)
					started := time.Now()
					for try := 0; try < 2; try++ {
						id := lab.NewID()
						site.Record.Add("client at %s: POST %s %s", n.Name, path, id)
						reply := client.Do(http.MethodPost, path, id, []byte(booking), deadline-time.Since(started))
						site.Record.Add("client at %s: %s is answered %d, signature %q, echoed ID %q, error %v", n.Name, id, reply.Status, reply.Signature, reply.EchoedID, reply.Err)
						mu.Lock()
						a := get(id)
						a.booking, a.status = booking, reply.Status
						mu.Unlock()
						if reply.Status != http.StatusServiceUnavailable {
							break
						}
						// The promise of 503 allows the client to send the booking again.
						client.Close()
						time.Sleep(50 * time.Millisecond)
					}
				}
			})
		}
	}
	for window := range windows {
		started := time.Now()
		if site.Trouble {
			// Server 1 is of the first service, server 2 of the second.
			falseServer.Store(int64(1 + window%2))
		}
		extra.Store(site.Trouble)
		time.Sleep(extraAnswers)
		extra.Store(false)
		time.Sleep(falseHealth - time.Since(started))
		falseServer.Store(-1)
		time.Sleep(windowLength - time.Since(started))
	}
	stop.Store(true)
	wg.Wait()
	// What was refused may still run later.
	time.Sleep(2 * time.Second)

	mu.Lock()
	defer mu.Unlock()
	refusedAndRun, twice, answered := 0, 0, 0
	bookings := map[string]int{}
	for id, a := range attempts {
		bookings[a.booking] += a.starts
		if a.status == http.StatusOK {
			answered++
		}
		if a.starts > 1 {
			twice++
			site.Record.Print("TWICE: %s ran %d times", id, a.starts)
		}
		if a.starts > 0 && (a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421) {
			refusedAndRun++
			site.Record.Print("REFUSED: %s (booking %s) was answered %d and has run", id, a.booking, a.status)
		}
	}
	double := 0
	for _, n := range bookings {
		if n > 1 {
			double++
		}
	}
	site.Record.Print("%d attempts, %d answered 200; refused though run: %d, run twice: %d, bookings made twice: %d", len(attempts), answered, refusedAndRun, twice, double)
	switch {
	case answered < len(attempts)/2:
		site.Finish(2, "less than half of the calls were served")
	case refusedAndRun+twice > 0:
		site.Finish(1, "rule REFUSED is broken")
	}
	site.Finish(0, "the rule held")
}
