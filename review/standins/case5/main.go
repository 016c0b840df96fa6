// Command case5 shows that a restarted node sends calls to a backend server whose
// leaving its earlier process has acknowledged.
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
	drainTime       = 2 * time.Second
	stabilityWindow = 3 * time.Second
	// lateBy is how late one heartbeat arrives. restartDelay is the time between
	// the kill of the node and the start of its next process. stay is how long the
	// server goes on after the acknowledgement.
	lateBy       = 3 * time.Second
	restartDelay = 500 * time.Millisecond
	stay         = 12 * time.Second

	clientsPerNode = 10
	workTime       = 290 * time.Millisecond
	deadline       = 2 * time.Second
)

func main() {
	site := lab.NewSite()
	var mu sync.Mutex
	var acknowledged, restarted time.Time
	reached := map[string]time.Time{}
	lateArrivals := 0
	// One of five servers leaves: the share of scale_in with "stay" is 0.2.
	for i := range 5 {
		server := &lab.Server{
			ID: fmt.Sprintf("i-%d", i), Capacity: 9,
			Run: func(*http.Request, []byte) lab.Work { return lab.Work{Duration: workTime, Body: []byte("booked\n")} },
		}
		if i == 0 {
			server.OnStart = func(id string, _ *http.Request, _ []byte) {
				mu.Lock()
				defer mu.Unlock()
				now := time.Now()
				reached[id] = now
				if !acknowledged.IsZero() && now.Sub(acknowledged) > drainTime && !restarted.IsZero() && now.Sub(restarted) > stabilityWindow {
					lateArrivals++
					site.Record.Add("DRAIN: %s reaches i-0 %.1f s after the acknowledgement of its leaving, %.1f s after the start of its node", id, now.Sub(acknowledged).Seconds(), now.Sub(restarted).Seconds())
				}
			}
		}
		site.AddNode(fmt.Sprintf("node-%d", i), fmt.Sprintf("zone-%d", i), "atelier-suivi", server)
	}
	site.PublishConfig([]string{"atelier-suivi"}, lab.Rule{Name: "reservation-tour", Kind: "non_idempotent", Prefix: "/booking/", Service: "atelier-suivi", TimeoutS: 1.2, ObjectiveS: 0.8, Priority: 1, MaxAttempts: 2})
	site.Launch()

	node, server := site.Nodes[0], site.Nodes[0].Server
	var stop atomic.Bool
	var wg sync.WaitGroup
	var sent, served, lostWork atomic.Int64
	for _, n := range site.Nodes {
		for range clientsPerNode {
			wg.Go(func() {
				client := &lab.Client{Addr: n.Callers}
				defer client.Close()
				for !stop.Load() {
					time.Sleep(time.Duration(rand.ExpFloat64() * float64(200*time.Millisecond)))
					if client.Connect() != nil {
						// The node is down.
						time.Sleep(200 * time.Millisecond)
						continue
					}
					id := lab.NewID()
					sent.Add(1)
					site.Record.Add("client at %s: POST /booking/x %s", n.Name, id)
					reply := client.Do(http.MethodPost, "/booking/x", id, []byte("booking"), deadline)
					site.Record.Add("client at %s: %s is answered %d, signature %q, error %v", n.Name, id, reply.Status, reply.Signature, reply.Err)
					if reply.Status == http.StatusOK {
						served.Add(1)
						continue
					}
					mu.Lock()
					at, ran := reached[id]
					mu.Unlock()
					if ran && !acknowledged.IsZero() && at.Sub(acknowledged) > drainTime {
						lostWork.Add(1)
						site.Record.Add("LOST WORK: %s ran on i-0 and was answered %d", id, reply.Status)
					}
				}
			})
		}
	}
	time.Sleep(4 * time.Second)

	// The server's last heartbeat is held up on the way. Then it leaves.
	var late map[string]any
	if site.Trouble {
		late = server.HeartbeatBody()
		site.Record.Add("server i-0: sends the heartbeat with sequence %v, which will arrive late", late["sequence"])
		time.AfterFunc(lateBy, func() { server.PostControl("/instances/i-0/heartbeat", late) })
	}
	time.Sleep(300 * time.Millisecond)
	if !server.Deregister() {
		site.Finish(2, "the leaving was not acknowledged")
	}
	mu.Lock()
	acknowledged = time.Now()
	mu.Unlock()
	time.Sleep(500 * time.Millisecond)
	if site.Trouble {
		node.Kill()
		site.Record.Add("node-0 is killed")
		time.Sleep(restartDelay)
		if err := node.Start(); err != nil {
			site.Finish(2, err.Error())
		}
	}
	mu.Lock()
	restarted = node.StartedAt()
	mu.Unlock()
	time.Sleep(time.Until(acknowledged.Add(stay)))
	site.Record.Add("server i-0 exits")
	server.End()
	time.Sleep(2 * time.Second)
	stop.Store(true)
	wg.Wait()

	mu.Lock()
	defer mu.Unlock()
	site.Record.Print("%d calls, %d served; reached i-0 too late, its node in touch: %d; cut off when i-0 exited: %d", sent.Load(), served.Load(), lateArrivals, lostWork.Load())
	switch {
	case served.Load() < sent.Load()/2:
		site.Finish(2, "less than half of the calls were served")
	case lateArrivals > 0:
		site.Finish(1, "rule DRAIN is broken")
	}
	site.Finish(0, "the rule held")
}
