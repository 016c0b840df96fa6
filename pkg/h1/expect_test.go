package h1

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// echoServer answers with the target and the body, /slow after release is closed and in
// two parts.
func echoServer(t *testing.T, release <-chan struct{}) string {
	return startServer(t, &Server{Handler: func(_ context.Context, r *Request) *Response {
		if r.Target != "/slow" {
			return okResponse(r.Target + " " + string(r.Body))
		}
		body := io.MultiReader(strings.NewReader("first "), readerFunc(func() { <-release }), strings.NewReader("second"))
		return &Response{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(body), ContentLength: int64(len("first second"))}
	}})
}

// readerFunc is an empty reader that calls a function first.
type readerFunc func()

func (f readerFunc) Read([]byte) (int, error) {
	f()
	return 0, io.EOF
}

const expectPost = "POST /post HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n"

// Guards against a 100 response inside the response to an earlier pipelined request: the
// bytes would become part of its body.
func TestContinueWaitsForEarlierResponses(t *testing.T) {
	release := make(chan struct{})
	conn := dial(t, echoServer(t, release))
	_, err := io.WriteString(conn, rawGet("/slow")+expectPost)
	require.NoError(t, err)
	time.AfterFunc(100*time.Millisecond, func() { close(release) })
	r := bufio.NewReader(conn)
	_, body := receiveResponse(t, r)
	require.Equal(t, "first second", body)
	interim, _ := receiveResponse(t, r)
	require.Equal(t, http.StatusContinue, interim.StatusCode)
	_, err = io.WriteString(conn, "body")
	require.NoError(t, err)
	_, body = receiveResponse(t, r)
	require.Equal(t, "/post body", body)
}

// Guards against a 100 response behind which the final response follows at once, since
// the caller sent the body without waiting, and against a body that is lost.
func TestNoContinueForABodyThatHasArrived(t *testing.T) {
	release := make(chan struct{})
	conn := dial(t, echoServer(t, release))
	_, err := io.WriteString(conn, rawGet("/slow")+expectPost)
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	_, err = io.WriteString(conn, "body"+rawGet("/next"))
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	close(release)
	r := bufio.NewReader(conn)
	for _, want := range []string{"first second", "/post body", "/next "} {
		resp, body := receiveResponse(t, r)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Equal(t, want, body)
	}
}

// Guards against wrong treatment of expectations at the edges: unknown ones, HTTP/1.0,
// requests without a body, and bodies that will be refused.
func TestExpectations(t *testing.T) {
	for name, c := range map[string]struct {
		request string
		want    []int
	}{
		"without pipelining":  {expectPost, []int{100}},
		"upper case":          {strings.Replace(expectPost, "100-continue", "100-Continue", 1), []int{100}},
		"unknown":             {strings.Replace(expectPost, "100-continue", "200-ok", 1), []int{417}},
		"body too large":      {strings.Replace(expectPost, "Length: 4", "Length: 99999999", 1), []int{413}},
		"no body":             {strings.Replace(expectPost, "Length: 4", "Length: 0", 1), []int{200}},
		"HTTP/1.0, with body": {strings.Replace(expectPost, "HTTP/1.1", "HTTP/1.0", 1) + "body", []int{200}},
		"body at once":        {expectPost + "body", []int{200}},
	} {
		t.Run(name, func(t *testing.T) {
			conn := dial(t, echoServer(t, nil))
			_, err := io.WriteString(conn, c.request)
			require.NoError(t, err)
			r := bufio.NewReader(conn)
			for _, status := range c.want {
				resp, _ := receiveResponse(t, r)
				require.Equal(t, status, resp.StatusCode)
			}
		})
	}
}
