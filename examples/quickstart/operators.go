package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/opsapi"
	"mangostand.example/mangostand/pkg/standin/backendserver"
)

// adminRequestTimeout bounds a request to a node's operator API or a test double.
const adminRequestTimeout = 2 * time.Second

// nodeStatus is the status that a node reports to operators.
type nodeStatus struct{ opsapi.Status }

// countServing returns the number of backend servers that the node sees as
// serving.
func (s *nodeStatus) countServing() int {
	n := 0
	for _, m := range s.Members {
		if m.State == board.MemberServing {
			n++
		}
	}
	return n
}

func readStatus(ctx context.Context, inst *instance) (*nodeStatus, error) {
	var status nodeStatus
	err := getJSON(ctx, "http://"+inst.operatorAddr+"/v1/status", &status.Status)
	return &status, errors.Trace(err)
}

func readCounters(ctx context.Context, inst *instance) (backendserver.Counters, error) {
	var counters backendserver.Counters
	err := getJSON(ctx, "http://"+inst.serverAddr+"/standin/counters", &counters)
	return counters, errors.Trace(err)
}

func getJSON(ctx context.Context, url string, response any) error {
	data, err := doRequest(ctx, http.MethodGet, url)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Annotatef(json.Unmarshal(data, response), "decoding the response of %s", url)
}

// doRequest sends a request without a body and returns the response body. A status
// of 300 or above is an error.
func doRequest(ctx context.Context, method, url string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, adminRequestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if resp.StatusCode >= 300 {
		return nil, errors.Errorf("%s: status %d: %s", url, resp.StatusCode, data)
	}
	return data, nil
}

// waitForHTTP waits until a GET of the URL succeeds.
func waitForHTTP(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		_, err := doRequest(ctx, http.MethodGet, url)
		if err == nil {
			return nil
		}
		if !sleep(ctx, pollInterval) {
			return errors.Trace(err)
		}
	}
}
