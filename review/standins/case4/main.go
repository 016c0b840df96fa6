// Command case4 shows that requests are read and never answered on connections
// that were idle while a version of the configuration raised the idle timeout.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"review/standins/lab"
)

const (
	rounds         = 4
	clientsPerNode = 10
	// shortIdle and longIdle are idle_timeout_s before and after the change.
	shortIdle = 3.0
	longIdle  = 15.0
	// changeAfter is when the change is written, counted from the last answer on
	// the connections. reuseAfter is when the connections are used again: later
	// than config_apply_s (2 s) after the change, and idle for less than four
	// fifths of the limit in force (12 s).
	changeAfter = 1 * time.Second
	reuseAfter  = 8 * time.Second

	workTime = 220 * time.Millisecond
	timeout  = 1200 * time.Millisecond
	deadline = 2 * time.Second
)

func main() {
	site := lab.NewSite()
	for i := range 3 {
		site.AddNode(fmt.Sprintf("node-%d", i), fmt.Sprintf("zone-%d", i), "atelier-suivi", &lab.Server{
			ID: fmt.Sprintf("i-%d", i), Capacity: 9,
			Run: func(*http.Request, []byte) lab.Work { return lab.Work{Duration: workTime, Body: []byte("history\n")} },
		})
	}
	publish := func(idle float64) {
		site.IdleTimeoutS = idle
		site.PublishConfig([]string{"atelier-suivi"}, lab.Rule{Name: "historique", Kind: "idempotent", Prefix: "/history/", Service: "atelier-suivi", TimeoutS: timeout.Seconds(), ObjectiveS: 0.6, Priority: 2, MaxAttempts: 2})
		site.Record.Add("idle_timeout_s is %g from this version on", idle)
	}
	if site.Trouble {
		publish(shortIdle)
	} else {
		publish(longIdle)
	}
	site.Launch()

	var mu sync.Mutex
	first, second, unanswered, closed := 0, 0, 0, 0
	for round := range rounds {
		var wg sync.WaitGroup
		started := time.Now()
		for _, n := range site.Nodes {
			for i := range clientsPerNode {
				wg.Go(func() {
					client := &lab.Client{Addr: n.Callers}
					defer client.Close()
					// The clients start a little apart, so that the servers aren't full.
					time.Sleep(time.Duration(i) * 30 * time.Millisecond)
					reply := client.Do(http.MethodGet, "/history/x", lab.NewID(), nil, deadline)
					if reply.Status != http.StatusOK || client.Conn == nil {
						return
					}
					mu.Lock()
					first++
					mu.Unlock()
					time.Sleep(time.Until(started.Add(reuseAfter + time.Duration(i)*30*time.Millisecond)))
					id := lab.NewID()
					sentAt := time.Now()
					site.Record.Add("client at %s: GET /history/x %s on a connection that was idle for less than 8 s", n.Name, id)
					reply = client.Do(http.MethodGet, "/history/x", id, nil, deadline)
					took := time.Since(sentAt)
					site.Record.Add("client at %s: %s is answered %d after %.3f s, error %v", n.Name, id, reply.Status, took.Seconds(), reply.Err)
					mu.Lock()
					defer mu.Unlock()
					second++
					switch {
					case reply.Status == 0 && took > timeout+500*time.Millisecond:
						unanswered++
						site.Record.Add("CONFIG: %s has no answer 0.5 s after the timeout of its route", id)
					case reply.Status == 0:
						closed++
					}
				})
			}
		}
		time.Sleep(changeAfter)
		if site.Trouble {
			publish(longIdle)
		}
		wg.Wait()
		if site.Trouble && round < rounds-1 {
			publish(shortIdle)
			time.Sleep(3 * time.Second)
		}
	}
	site.Record.Print("%d connections used a second time: %d requests without an answer 0.5 s after the timeout, %d connections were closed instead", second, unanswered, closed)
	switch {
	case second < first/2 || first < rounds*clientsPerNode:
		site.Finish(2, "too few calls were served")
	case unanswered >= 8 && 4*unanswered > second:
		site.Finish(1, "rule CONFIG is broken")
	}
	site.Finish(0, "the rule held")
}
