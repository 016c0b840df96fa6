package mesh

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/h1"
)

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against passing on a short response that is truncated between two
// nodes. The caller's connection would then have to be closed, which loses all
// its pipelined responses.
func TestTruncatedShortResponseIsNotForwarded(t *testing.T) {
	f := &forwarder{entry: &Entry{Board: board.NewMeshBoard(board.NodeIdentity{})}, call: &Call{}}
	matcher := &hopMatcher{request: &hopRequest{}}
	header := func() http.Header {
		header := http.Header{hopHeader: {encodeHop(hopResponse{Outcome: Answered})}}
		require.True(t, matcher.accept(header))
		return header
	}
	truncated := io.NopCloser(io.MultiReader(strings.NewReader("half"), failingReader{}))
	result := f.readPeerResponse(&h1.ClientResponse{Status: http.StatusOK, Header: header(), ContentLength: 10, Body: truncated}, matcher, &board.MeshEndpoint{}, 0)
	require.Equal(t, Unknown, result.Outcome)
	require.Nil(t, result.Body)

	complete := io.NopCloser(strings.NewReader("whole"))
	result = f.readPeerResponse(&h1.ClientResponse{Status: http.StatusOK, Header: header(), ContentLength: 5, Body: complete}, matcher, &board.MeshEndpoint{}, 0)
	require.Equal(t, Answered, result.Outcome)
	got, err := io.ReadAll(result.Body)
	require.NoError(t, err)
	require.Equal(t, "whole", string(got))
}

// Guards against a late copy of the response to an earlier offer that is taken for the
// response to a later one, also when both offer the same call.
func TestLateCopyOfHopResponseIsSkipped(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		r, refusal := bufio.NewReader(conn), ""
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			var hop hopRequest
			if decodeHop(request.Header.Get(hopHeader), &hop) != nil {
				return
			}
			respond := func(status string, outcome Outcome, body string) string {
				return "HTTP/1.1 " + status + "\r\n" + hopHeader + ": " + encodeHop(hopResponse{Outcome: outcome, Executor: "peer", ID: hop.ID, Offer: hop.Offer}) +
					"\r\nContent-Length: " + body + "\r\n\r\n"
			}
			if refusal == "" {
				refusal = respond("503 S", NotSent, "0")
				_, _ = io.WriteString(conn, refusal)
				_, _ = io.Copy(io.Discard, request.Body)
				continue
			}
			_, _ = io.WriteString(conn, refusal+"HTTP/1.1 100 Continue\r\n\r\n")
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, respond("200 OK", Answered, "2")+"ok")
		}
	}()
	entry := &Entry{Board: board.NewMeshBoard(board.NodeIdentity{}), Peers: &h1.Pool{DialTimeout: time.Second}, Log: zerolog.Nop()}
	endpoint := &board.MeshEndpoint{
		Record:        board.NodeRecord{Instance: "peer", PeerAddr: listener.Addr().String()},
		EndpointStats: &board.EndpointStats{}, Reachability: &board.Reachability{},
	}
	f := &forwarder{entry: entry, call: &Call{ID: "a", Method: http.MethodPost, Target: "/", Host: "h", Deadline: time.Now().Add(time.Second), Body: []byte("x")}}
	require.Equal(t, NotSent, f.sendToPeer(t.Context(), endpoint, 0, func() {}).Outcome)
	result := f.sendToPeer(t.Context(), endpoint, 0, func() {})
	require.Equal(t, Answered, result.Outcome, "reason %s", result.Reason)
	result.closeBody()
}
