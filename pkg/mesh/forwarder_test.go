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

type truncatedReader struct{}

func (truncatedReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against an answer that breaks off between two nodes and is passed on
// until it breaks: with it go all pipelined answers of the caller's connection
// (lsba-mesh scale-1 broke LOST once).
func TestTruncatedShortResponseIsNotForwarded(t *testing.T) {
	f := &forwarder{entry: &Entry{Board: board.NewMesh(board.Self{})}, call: &Call{}}
	header := func() http.Header {
		return http.Header{hopHeader: {encodeHop(hopResponse{Outcome: Answered})}}
	}
	truncated := io.NopCloser(io.MultiReader(strings.NewReader("half"), truncatedReader{}))
	result := f.readPeerResponse(&h1.Answer{Status: http.StatusOK, Header: header(), Length: 10, Body: truncated}, &board.MeshCell{})
	require.Equal(t, Unknown, result.Outcome)
	require.Nil(t, result.Body)

	complete := io.NopCloser(strings.NewReader("whole"))
	result = f.readPeerResponse(&h1.Answer{Status: http.StatusOK, Header: header(), Length: 5, Body: complete}, &board.MeshCell{})
	require.Equal(t, Answered, result.Outcome)
	got, err := io.ReadAll(result.Body)
	require.NoError(t, err)
	require.Equal(t, "whole", string(got))
}
