package opsapi

import (
	"net/http"

	"mangostand.example/mangostand/pkg/board"
)

// newRetiredTrafficHandler answers with the refused calls of retired traffic by caller
// and service, most refusals first.
func newRetiredTrafficHandler(b *board.Board) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, b.RetiredTraffic.Rows()) }
}
