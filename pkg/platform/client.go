// Package platform is the client of the platform's key-value service (the
// store) over HTTP: reads, compare-and-swap, leases and watches.
package platform

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
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

// defaultTimeout bounds a call. The store answers in milliseconds; a call that
// takes seconds is better repeated after the store has recovered.
const defaultTimeout = 2 * time.Second

// Client talks to the store. Any goroutine may use it.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
	observe func(Kind, Result)
}

// Option changes a client at its creation.
type Option func(*Client)

// WithObserver passes the kind and the result of each call to a counter, which
// any goroutine may call.
func WithObserver(observe func(Kind, Result)) Option {
	return func(c *Client) { c.observe = observe }
}

// WithTimeout bounds each call, default 2s. A watch may take its wait longer.
func WithTimeout(timeout time.Duration) Option {
	return func(c *Client) { c.timeout = timeout }
}

// WithTransport replaces the HTTP transport.
func WithTransport(transport http.RoundTripper) Option {
	return func(c *Client) { c.http.Transport = transport }
}

// NewClient returns a client of the store at a URL such as
// http://127.0.0.1:7000. A call ends with its context or after the timeout,
// whichever comes first.
func NewClient(base string, options ...Option) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 90 * time.Second}
	c := &Client{
		base: strings.TrimSuffix(base, "/"), http: &http.Client{Transport: transport},
		timeout: defaultTimeout, observe: func(Kind, Result) {},
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Get reads a key. It returns ErrNotFound when the key does not exist.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	var entry Entry
	err := c.call(ctx, request{kind: KindGet, method: http.MethodGet, path: "/v1/kv/" + key}, &entry)
	return entry, errors.Trace(err)
}

// List reads all keys that start with prefix, in the order of the keys.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, error) {
	var entries []Entry
	query := url.Values{"prefix": {prefix}}
	err := c.call(ctx, request{kind: KindList, method: http.MethodGet, path: "/v1/list", query: query}, &entries)
	return entries, errors.Trace(err)
}

// Watch waits until the key has a higher revision than after, or until wait
// has passed, and returns the current entry or ErrNotFound. Each waiting watch
// counts towards the load of the store. After an outage the store may hold
// older data, so callers compare the entry and not only its revision.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error) {
	query := url.Values{
		"after":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var entry Entry
	err := c.call(ctx, request{kind: KindWatch, method: http.MethodGet, path: "/v1/watch/" + key, query: query, wait: wait}, &entry)
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
	err := c.call(ctx, request{kind: KindSwap, method: http.MethodPut, path: "/v1/kv/" + key, query: query, body: value}, &answer)
	return answer.Revision, errors.Trace(err)
}

// Delete removes a key whose revision is expect. It returns ErrNotFound,
// ErrConflict, ErrUnavailable or ErrIndeterminate.
func (c *Client) Delete(ctx context.Context, key string, expect uint64) error {
	query := url.Values{"expect": {strconv.FormatUint(expect, 10)}}
	return errors.Trace(c.call(ctx, request{kind: KindDelete, method: http.MethodDelete, path: "/v1/kv/" + key, query: query}, nil))
}

// GrantLease asks for a lease that ends after ttl unless it is renewed.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (Lease, error) {
	query := url.Values{"ttl_ms": {strconv.FormatInt(ttl.Milliseconds(), 10)}}
	var lease Lease
	err := c.call(ctx, request{kind: KindGrant, method: http.MethodPost, path: "/v1/leases", query: query}, &lease)
	return lease, errors.Trace(err)
}

// RenewLease extends a lease by its ttl. It returns ErrNotFound when the lease
// has ended.
func (c *Client) RenewLease(ctx context.Context, id string) error {
	return errors.Trace(c.call(ctx, request{kind: KindRenew, method: http.MethodPost, path: "/v1/leases/" + id}, nil))
}

// RevokeLease ends a lease and deletes its keys.
func (c *Client) RevokeLease(ctx context.Context, id string) error {
	return errors.Trace(c.call(ctx, request{kind: KindRevoke, method: http.MethodDelete, path: "/v1/leases/" + id}, nil))
}
