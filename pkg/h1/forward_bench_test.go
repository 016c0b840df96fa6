package h1

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"
)

// BenchmarkForward4KB measures a request with a body of 4 KB between two nodes.
func BenchmarkForward4KB(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &Server{
		Handler: func(ctx context.Context, r *Request) *Response {
			reserveBenchBody(r)
			_ = r.SendInterim(http.StatusContinue)
			if body, err := r.AwaitBody(ctx, time.Second); err != nil || len(body) != 4000 {
				b.Error(len(body), err)
			}
			return &Response{Status: http.StatusOK}
		},
		Limits: func() Limits {
			return Limits{MaxHeaderBytes: 1 << 16, MaxBodyBytes: 1 << 20, ReadHeaderTimeout: 5 * time.Second}
		},
		IdleTimeout: func(time.Time) time.Duration { return time.Minute }, ManualContinue: true,
	}
	boundBenchBodies(server)
	go func() { _ = server.Serve(listener) }()
	pool, body := &Pool{DialTimeout: time.Second, IdleTimeout: time.Minute}, make([]byte, 4000)
	b.ReportAllocs()
	for b.Loop() {
		response, err := pool.Do(b.Context(), listener.Addr().String(), &ClientRequest{
			Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: body, ExpectContinue: true, MaxIdleTime: time.Minute,
		})
		if err != nil {
			b.Fatal(err)
		}
		_ = response.Body.Close()
	}
	_ = listener.Close()
}

// boundBenchBodies and reserveBenchBody are the parts that depend on the bound, so that
// the benchmark can run against code without it.
func boundBenchBodies(s *Server)  { s.Bodies = &boundedBodies{bound: 1 << 30} }
func reserveBenchBody(r *Request) { r.ReserveBody(4000) }
