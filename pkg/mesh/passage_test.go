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

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against an answer that breaks off between two nodes and is passed on
// until it breaks: with it go all pipelined answers of the caller's connection
// (lsba-mesh scale-1 broke LOST once).
func TestShortAnswerThatBreaksOffIsNotPassedOn(t *testing.T) {
	p := &passage{entry: &Entry{Board: board.NewMeshBoard(board.NodeIdentity{})}, call: &Call{}}
	header := func() http.Header {
		return http.Header{headerHop: {encodeHop(hopAnswer{Outcome: Answered})}}
	}
	cut := io.NopCloser(io.MultiReader(strings.NewReader("half"), brokenReader{}))
	a := p.answerOf(&h1.Answer{Status: http.StatusOK, Header: header(), Length: 10, Body: cut}, &board.MeshEndpoint{})
	require.Equal(t, Unknown, a.Outcome)
	require.Nil(t, a.Body)

	whole := io.NopCloser(strings.NewReader("whole"))
	a = p.answerOf(&h1.Answer{Status: http.StatusOK, Header: header(), Length: 5, Body: whole}, &board.MeshEndpoint{})
	require.Equal(t, Answered, a.Outcome)
	got, err := io.ReadAll(a.Body)
	require.NoError(t, err)
	require.Equal(t, "whole", string(got))
}
