// Package platform is the client of the platform's key-value service (the
// store) over HTTP: reads, compare-and-swap, leases and watches.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// Outcomes of store calls that callers distinguish.
const (
	// ErrNotFound: the key or lease does not exist.
	ErrNotFound = errors.ConstError("not found in the store")
	// ErrConflict: the key has another revision than expected.
	ErrConflict = errors.ConstError("conflict in the store")
	// ErrUnavailable: the store did not take the call; nothing was written.
	ErrUnavailable = errors.ConstError("store unavailable")
	// ErrIndeterminate: the answer of a write was lost, so it may have taken
	// effect. The caller settles it by reading back.
	ErrIndeterminate = errors.ConstError("store answer lost")
)

// maxValueSize is the largest value that the store holds, in bytes.
const maxValueSize = 1 << 20

// maxAnswerSize bounds an answer: a value in base64 with its envelope, or a
// list of small values.
const maxAnswerSize = 4 * maxValueSize

// Entry is one key with its value. Revision rises with each write of any key.
type Entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Lease    string `json:"lease,omitempty"`
}

// Lease is a granted lease. The token rises with each grant and fences holders
// whose lease has lapsed.
type Lease struct {
	ID    string `json:"lease"`
	Token uint64 `json:"token"`
}

// Client talks to the store. Any goroutine may use it.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the store at a URL such as
// http://127.0.0.1:7000. Each call takes at most the deadline of its context.
func NewClient(base string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 90 * time.Second}
	return &Client{base: base, http: &http.Client{Transport: transport}}
}

// Get reads a key. It returns ErrNotFound when the key does not exist.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	var entry Entry
	err := c.call(ctx, http.MethodGet, "/v1/kv/"+key, nil, nil, &entry)
	return entry, errors.Trace(err)
}

// List reads all keys that start with prefix, in the order of the keys.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, error) {
	var entries []Entry
	err := c.call(ctx, http.MethodGet, "/v1/list", url.Values{"prefix": {prefix}}, nil, &entries)
	return entries, errors.Trace(err)
}

// Watch waits until the key has a higher revision than after, or until wait
// has passed, and returns the current entry. Each waiting watch counts as one
// call of the store.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error) {
	query := url.Values{
		"after":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var entry Entry
	err := c.call(ctx, http.MethodGet, "/v1/watch/"+key, query, nil, &entry)
	return entry, errors.Trace(err)
}

// CompareAndSwap writes a key whose revision is expect; 0 means that the key
// must not exist. With a lease, the key is deleted when the lease ends. It
// returns the new revision, ErrConflict, ErrUnavailable or ErrIndeterminate.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease string) (uint64, error) {
	if len(value) > maxValueSize {
		return 0, errors.Errorf("value of %s has %d bytes, the store holds %d", key, len(value), maxValueSize)
	}
	query := url.Values{"expect": {strconv.FormatUint(expect, 10)}}
	if lease != "" {
		query.Set("lease", lease)
	}
	var answer struct {
		Revision uint64 `json:"revision"`
	}
	err := c.call(ctx, http.MethodPut, "/v1/kv/"+key, query, value, &answer)
	return answer.Revision, errors.Trace(err)
}

// Delete removes a key whose revision is expect.
func (c *Client) Delete(ctx context.Context, key string, expect uint64) error {
	query := url.Values{"expect": {strconv.FormatUint(expect, 10)}}
	return errors.Trace(c.call(ctx, http.MethodDelete, "/v1/kv/"+key, query, nil, nil))
}

// GrantLease asks for a lease that ends after ttl unless it is renewed.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (Lease, error) {
	query := url.Values{"ttl_ms": {strconv.FormatInt(ttl.Milliseconds(), 10)}}
	var lease Lease
	err := c.call(ctx, http.MethodPost, "/v1/leases", query, nil, &lease)
	return lease, errors.Trace(err)
}

// RenewLease extends a lease by its ttl. It returns ErrNotFound when the lease
// has ended.
func (c *Client) RenewLease(ctx context.Context, id string) error {
	return errors.Trace(c.call(ctx, http.MethodPost, "/v1/leases/"+id, nil, nil, nil))
}

// RevokeLease ends a lease and deletes its keys.
func (c *Client) RevokeLease(ctx context.Context, id string) error {
	return errors.Trace(c.call(ctx, http.MethodDelete, "/v1/leases/"+id, nil, nil, nil))
}

func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte, answer any) error {
	target := c.base + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return lostAnswer(method, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerSize))
	if err != nil {
		return lostAnswer(method, err)
	}
	if err := statusError(method, path, resp.StatusCode); err != nil {
		return err
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return lostAnswer(method, err)
	}
	return nil
}

// lostAnswer classifies a transport error: a read has no effect, a write may
// have taken effect.
func lostAnswer(method string, err error) error {
	if method == http.MethodGet {
		return errors.Annotatef(ErrUnavailable, "%v", err)
	}
	return errors.Annotatef(ErrIndeterminate, "%v", err)
}

func statusError(method, path string, status int) error {
	switch {
	case status < 300:
		return nil
	case status == http.StatusNotFound:
		return errors.Annotate(ErrNotFound, path)
	case status == http.StatusConflict:
		return errors.Annotate(ErrConflict, path)
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		return errors.Annotatef(ErrUnavailable, "status %d", status)
	case method != http.MethodGet && status >= 500:
		return errors.Annotatef(ErrIndeterminate, "status %d", status)
	}
	return errors.Annotatef(ErrUnavailable, "status %d", status)
}
