package httpapi_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"pollenpaddle/internal/connection/budget"
	"pollenpaddle/internal/process/httpapi"
)

// TestLargeResponses guards against a large response that arrives without its body, whichever way the handler has set it.
func TestLargeResponses(t *testing.T) {
	body := strings.Repeat("x", 300_000)
	guard, err := httpapi.NewGuard(budget.Config{Bytes: 1_000_000, ReservedBytes: 50_000}, zap.NewNop(), prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	server, err := guard.NewServer(httpapi.ServerConfig{
		Name: "test", Limits: budget.Listener{Connections: 8}, WriteError: httpapi.WriteError,
		Handler: func(ctx *fasthttp.RequestCtx) {
			switch string(ctx.Path()) {
			case "/buffer":
				ctx.SetBodyString(body)
			case "/raw":
				ctx.Response.SetBodyRaw([]byte(body))
			case "/append":
				ctx.Response.AppendBodyString(body)
			}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	for _, path := range []string{"/buffer", "/raw", "/append", "/raw", "/buffer"} {
		response, err := http.Get("http://" + listener.Addr().String() + path)
		if err != nil {
			t.Fatal(err)
		}
		received, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || string(received) != body {
			t.Errorf("%s: %d bytes (%v), want %d", path, len(received), err, len(body))
		}
	}
}
