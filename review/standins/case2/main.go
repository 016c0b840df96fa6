// Command case2 shows that an interim answer is written into the middle of the
// answer to an earlier request on the connection.
package main

import (
	"bufio"
	"crypto/rand"
	"fmt"
	"net/http"
	"time"

	"review/standins/lab"
)

const (
	rounds = 60
	// largeAnswer is the largest answer to a download in the sites.
	largeAnswer = 540_000
	bodyLength  = 400
	deadline    = 1500 * time.Millisecond
)

func main() {
	site := lab.NewSite()
	document := make([]byte, largeAnswer)
	_, _ = rand.Read(document)
	for i := range 3 {
		site.AddNode(fmt.Sprintf("node-%d", i), fmt.Sprintf("zone-%d", i), "plan-depot", &lab.Server{
			ID: fmt.Sprintf("i-%d", i), Capacity: 9,
			Run: func(r *http.Request, body []byte) lab.Work {
				if r.Method == http.MethodGet {
					return lab.Work{Duration: 180 * time.Millisecond, Body: document}
				}
				return lab.Work{Duration: 55 * time.Millisecond, Body: append([]byte("found: "), body...)}
			},
		})
	}
	site.PublishConfig([]string{"plan-depot"},
		lab.Rule{Name: "gabarit", Kind: "download", Prefix: "/drawing/", Service: "plan-depot", TimeoutS: 1.5, ObjectiveS: 0.6, Priority: 2, MaxAttempts: 2},
		lab.Rule{Name: "cote", Kind: "idempotent", Prefix: "/lookup/", Service: "plan-depot", TimeoutS: 1.5, ObjectiveS: 0.6, Priority: 2, MaxAttempts: 2})
	site.Launch()

	mixed, good, other := 0, 0, 0
	for round := range rounds {
		n := site.Nodes[round%len(site.Nodes)]
		switch problem, err := exchange(site, n, document); {
		case err != nil:
			other++
			site.Record.Add("round %d: %v", round, err)
		case problem != "":
			mixed++
			site.Record.Print("MIXED: round %d at %s: %s", round, n.Name, problem)
		default:
			good++
		}
	}
	site.Record.Print("%d rounds: %d right, %d wrong, %d without both answers", rounds, good, mixed, other)
	switch {
	case mixed > 0:
		site.Finish(1, "rule MIXED is broken")
	case good < rounds/2:
		site.Finish(2, "less than half of the rounds were served")
	}
	site.Finish(0, "the rule held")
}

// exchange sends a download and then, on the same connection, a lookup that waits
// for 100 Continue with its body. With the trouble, the lookup is sent before the
// download has been answered completely.
func exchange(site *lab.Site, n *lab.Node, document []byte) (problem string, err error) {
	client := &lab.Client{Addr: n.Callers}
	if err := client.Connect(); err != nil {
		return "", err
	}
	defer client.Close()
	_ = client.Conn.SetDeadline(time.Now().Add(2 * deadline))
	first, second := lab.NewID(), lab.NewID()
	lookup := make([]byte, bodyLength)
	for i := range lookup {
		lookup[i] = 'a' + byte(i%26)
	}
	sendSecond := func() error {
		site.Record.Add("client at %s: POST /lookup/x %s, waits for 100 Continue", n.Name, second)
		_, err := client.Conn.Write([]byte(lab.Head(http.MethodPost, "/lookup/x", second, deadline) + fmt.Sprintf("Content-Length: %d\r\nExpect: 100-continue\r\n\r\n", bodyLength)))
		return err
	}
	site.Record.Add("client at %s: GET /drawing/x %s", n.Name, first)
	if _, err := client.Conn.Write([]byte(lab.Head(http.MethodGet, "/drawing/x", first, deadline) + "\r\n")); err != nil {
		return "", err
	}
	br := client.Reader()
	if _, err := br.Peek(1); err != nil {
		return "", err
	}
	if site.Trouble {
		if err := sendSecond(); err != nil {
			return "", err
		}
	}
	reply := lab.ReadReply(br, http.MethodGet, first)
	site.Record.Add("client at %s: %s is answered %d, signature %q, %d bytes, error %v", n.Name, first, reply.Status, reply.Signature, len(reply.Body), reply.Err)
	if reply.Status != http.StatusOK || reply.Err != nil {
		return "", fmt.Errorf("download: status %d, %v", reply.Status, reply.Err)
	}
	if at := difference(reply.Body, document); at >= 0 {
		return fmt.Sprintf("the download %s is a success with the signature, but its body differs from byte %d on: %q", first, at, reply.Body[at:min(at+30, len(reply.Body))]), nil
	}
	if !site.Trouble {
		if err := sendSecond(); err != nil {
			return "", err
		}
	}
	if problem, err := awaitContinue(br); problem != "" || err != nil {
		return problem, err
	}
	if _, err := client.Conn.Write(lookup); err != nil {
		return "", err
	}
	reply = lab.ReadReply(br, http.MethodPost, second)
	site.Record.Add("client at %s: %s is answered %d, signature %q, error %v", n.Name, second, reply.Status, reply.Signature, reply.Err)
	if reply.Status != http.StatusOK || reply.Err != nil {
		return "", fmt.Errorf("lookup: status %d, %v", reply.Status, reply.Err)
	}
	return "", nil
}

func awaitContinue(br *bufio.Reader) (problem string, err error) {
	line, err := br.ReadString('\n')
	if err != nil {
		return "", err
	}
	if line != "HTTP/1.1 100 Continue\r\n" {
		return fmt.Sprintf("bytes that are no answer come after the download: %.40q", line), nil
	}
	_, err = br.ReadString('\n')
	return "", err
}

// difference returns the index of the first byte that differs, -1 for none.
func difference(got, want []byte) int {
	for i := range want {
		if i >= len(got) || got[i] != want[i] {
			return i
		}
	}
	return -1
}
