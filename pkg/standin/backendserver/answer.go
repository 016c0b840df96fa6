package backendserver

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// maxAnswerSize bounds the size that a caller may ask for, in bytes.
const maxAnswerSize = 16 << 20

// answerSize returns the least size of an answer: the query parameter size, or
// the size of large answers, or 0.
func (s *Server) answerSize(r *http.Request) int {
	if n, err := strconv.Atoi(r.URL.Query().Get("size")); err == nil && n > 0 {
		return min(n, maxAnswerSize)
	}
	if s.config.LargeResponsePrefix != "" && strings.HasPrefix(r.URL.Path, s.config.LargeResponsePrefix) {
		return s.config.LargeResponseBytes
	}
	return 0
}

// token names the request that an answer belongs to.
func token(method, path, nonce string) string {
	return strings.TrimRight(method+" "+path+" "+nonce, " ")
}

// NewAnswer returns the body of an answer: the token of its request in the
// first and the last line, and in each line of padding between them.
func NewAnswer(service, instance, method, path, nonce string, bodySize, size int) []byte {
	var b bytes.Buffer
	own := token(method, path, nonce)
	fmt.Fprintf(&b, "%s\n%s %s read %d bytes\n", own, service, instance, bodySize)
	padding := paddingOf(own)
	for line := 0; b.Len()+len(own) < size; line++ {
		fmt.Fprintf(&b, "%08d %s\n", line, padding)
	}
	b.WriteString(own + "\n")
	return b.Bytes()
}

// paddingSize is the least size of a padding line in bytes; shorter lines make
// large answers slow to build.
const paddingSize = 1000

// paddingOf repeats a token up to the size of a padding line.
func paddingOf(own string) string {
	return strings.Repeat(own+" ", paddingSize/(len(own)+1)+1)
}

// VerifyResponseBody returns an error when a body is not the whole answer to the
// request with this method, path and nonce.
func VerifyResponseBody(body []byte, method, path, nonce string) error {
	own := token(method, path, nonce)
	lines := strings.Split(string(body), "\n")
	// First line, summary, last line and the empty rest after the last newline.
	const least = 4
	if len(lines) < least || lines[len(lines)-1] != "" {
		return errors.Errorf("answer of %d bytes is incomplete", len(body))
	}
	if lines[0] != own || lines[len(lines)-2] != own {
		return errors.Errorf("answer begins with %q and ends with %q, expected %q", lines[0], lines[len(lines)-2], own)
	}
	padding := paddingOf(own)
	for n, line := range lines[2 : len(lines)-2] {
		if line != fmt.Sprintf("%08d %s", n, padding) {
			return errors.Errorf("line %d of the answer belongs to another request: %q", n, line)
		}
	}
	return nil
}

// isIdempotent reports whether a method only reads.
func isIdempotent(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}
