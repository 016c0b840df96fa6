package executionlog

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Client talks to the execution log process. Any goroutine may use it.
type Client struct {
	url  string
	http *http.Client
}

// NewClient returns a client of the log at a URL such as http://127.0.0.1:7002.
func NewClient(url string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute}
	return &Client{url: url + "/v1/executions", http: &http.Client{Transport: transport}}
}

// Record posts an execution and returns when the log holds it.
func (c *Client) Record(ctx context.Context, e *Execution) error {
	data, err := json.Marshal(e)
	if err != nil {
		return errors.Trace(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url, bytes.NewReader(data))
	if err != nil {
		return errors.Trace(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	if err := resp.Body.Close(); err != nil {
		return errors.Trace(err)
	}
	if resp.StatusCode != http.StatusNoContent {
		return errors.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// Executions reads the executions.
func (c *Client) Executions(ctx context.Context) ([]Execution, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer resp.Body.Close()
	var list []Execution
	err = json.NewDecoder(resp.Body).Decode(&list)
	return list, errors.Annotate(err, "reading the execution log")
}
