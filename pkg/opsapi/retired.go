package opsapi

import (
	"net/http"

	"mangostand.example/mangostand/pkg/board"
)

// newRetiredTrafficHandler returns the handler of GET /v1/retired: the number of
// refused calls to retired routes and services, by caller and service, in
// decreasing order.
func newRetiredTrafficHandler(b *board.Board) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, b.RetiredTraffic.Rows()) }
}
