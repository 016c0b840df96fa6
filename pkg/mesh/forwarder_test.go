package mesh

import (
	"io"
	"net/http"
	"strings"
	"testing"

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
	header := func() http.Header {
		return http.Header{hopHeader: {encodeHop(hopResponse{Outcome: Answered})}}
	}
	truncated := io.NopCloser(io.MultiReader(strings.NewReader("half"), failingReader{}))
	result := f.readPeerResponse(&h1.ClientResponse{Status: http.StatusOK, Header: header(), ContentLength: 10, Body: truncated}, &board.MeshEndpoint{}, 0)
	require.Equal(t, Unknown, result.Outcome)
	require.Nil(t, result.Body)

	complete := io.NopCloser(strings.NewReader("whole"))
	result = f.readPeerResponse(&h1.ClientResponse{Status: http.StatusOK, Header: header(), ContentLength: 5, Body: complete}, &board.MeshEndpoint{}, 0)
	require.Equal(t, Answered, result.Outcome)
	got, err := io.ReadAll(result.Body)
	require.NoError(t, err)
	require.Equal(t, "whole", string(got))
}
