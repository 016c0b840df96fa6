package opsapi

import (
	"net/http"

	"mangostand.example/mangostand/pkg/board"
)

// handleRetired answers with the refused calls of retired traffic by caller
// and service, most refusals first.
func handleRetired(b *board.Board) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, b.RetiredTraffic.Rows()) }
}
