package executionlog

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Client is a client of the execution log process. It is safe for concurrent use.
type Client struct {
	executionsURL string
	httpClient    *http.Client
}

// NewClient returns a client of the log at a URL such as http://127.0.0.1:7002.
func NewClient(url string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute}
	return &Client{executionsURL: url + "/v1/executions", httpClient: &http.Client{Transport: transport}}
}

// Record stores an execution. It returns nil once the log has confirmed it.
func (c *Client) Record(ctx context.Context, e *Execution) error {
	data, err := json.Marshal(e)
	if err != nil {
		return errors.Trace(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.executionsURL, bytes.NewReader(data))
	if err != nil {
		return errors.Trace(err)
	}
	resp, err := c.httpClient.Do(req)
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

// Executions returns all executions in the order of their start.
func (c *Client) Executions(ctx context.Context) ([]Execution, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.executionsURL, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer resp.Body.Close()
	var list []Execution
	err = json.NewDecoder(resp.Body).Decode(&list)
	return list, errors.Annotate(err, "reading the execution log")
}
