package backendserver

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// maxResponseBytes bounds the response size that a caller can request.
const maxResponseBytes = 16 << 20

// minResponseBytes returns the size to which a response is padded: the query
// parameter size, else LargeResponseBytes for a path with LargeResponsePrefix, else
// 0.
func (s *Server) minResponseBytes(r *http.Request) int {
	if n, err := strconv.Atoi(r.URL.Query().Get("size")); err == nil && n > 0 {
		return min(n, maxResponseBytes)
	}
	if s.config.LargeResponsePrefix != "" && strings.HasPrefix(r.URL.Path, s.config.LargeResponsePrefix) {
		return s.config.LargeResponseBytes
	}
	return 0
}

// requestToken returns the token that ties a response to its request.
func requestToken(method, path, nonce string) string {
	return strings.TrimRight(method+" "+path+" "+nonce, " ")
}

// NewResponseBody returns a response body with the token of its request in the
// first and last line and in each padding line between them, so that
// VerifyResponseBody detects truncated and mixed-up responses. bodySize is the size
// of the request body, size that to which the response is padded.
func NewResponseBody(service, instance, method, path, nonce string, bodySize, size int) []byte {
	var b bytes.Buffer
	token := requestToken(method, path, nonce)
	fmt.Fprintf(&b, "%s\n%s %s read %d bytes\n", token, service, instance, bodySize)
	padding := paddingLine(token)
	for line := 0; b.Len()+len(token) < size; line++ {
		fmt.Fprintf(&b, "%08d %s\n", line, padding)
	}
	b.WriteString(token + "\n")
	return b.Bytes()
}

// minPaddingLineBytes is the smallest size of a padding line. Shorter lines make
// large responses slow to build.
const minPaddingLineBytes = 1000

// paddingLine repeats a token to at least minPaddingLineBytes.
func paddingLine(token string) string {
	return strings.Repeat(token+" ", minPaddingLineBytes/(len(token)+1)+1)
}

// VerifyResponseBody returns an error if a body is not the complete response to the
// request with this method, path and nonce.
func VerifyResponseBody(body []byte, method, path, nonce string) error {
	token := requestToken(method, path, nonce)
	lines := strings.Split(string(body), "\n")
	// First line, summary, last line and the empty string after the last newline.
	const minLines = 4
	if len(lines) < minLines || lines[len(lines)-1] != "" {
		return errors.Errorf("response of %d bytes is incomplete", len(body))
	}
	if lines[0] != token || lines[len(lines)-2] != token {
		return errors.Errorf("response begins with %q and ends with %q, expected %q", lines[0], lines[len(lines)-2], token)
	}
	padding := paddingLine(token)
	for n, line := range lines[2 : len(lines)-2] {
		if line != fmt.Sprintf("%08d %s", n, padding) {
			return errors.Errorf("padding line %d of the response belongs to another request: %q", n, line)
		}
	}
	return nil
}

// isIdempotent reports whether a method is read-only. PUT and DELETE, which HTTP
// defines as idempotent, are recorded like POST.
func isIdempotent(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}
