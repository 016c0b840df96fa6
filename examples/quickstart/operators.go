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

// operatorTimeout bounds one call to an operators' listener or a stand-in.
const operatorTimeout = 2 * time.Second

// nodeStatus is the status of a node.
type nodeStatus struct{ opsapi.Status }

func (s *nodeStatus) serving() int {
	n := 0
	for _, m := range s.Members {
		if m.State == board.MemberServing {
			n++
		}
	}
	return n
}

func readStatus(ctx context.Context, h *host) (*nodeStatus, error) {
	var status nodeStatus
	err := getJSON(ctx, "http://"+h.operators+"/v1/status", &status.Status)
	return &status, errors.Trace(err)
}

func readCounters(ctx context.Context, h *host) (backendserver.Counters, error) {
	var counters backendserver.Counters
	err := getJSON(ctx, "http://"+h.server+"/standin/counters", &counters)
	return counters, errors.Trace(err)
}

func getJSON(ctx context.Context, url string, answer any) error {
	data, err := get(ctx, http.MethodGet, url)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Annotatef(json.Unmarshal(data, answer), "answer of %s", url)
}

// get sends a call without a body and returns the answer's body.
func get(ctx context.Context, method, url string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
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

// waitHTTP returns when a URL answers.
func waitHTTP(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		_, err := get(ctx, http.MethodGet, url)
		if err == nil {
			return nil
		}
		if !pause(ctx, pollInterval) {
			return errors.Trace(err)
		}
	}
}
