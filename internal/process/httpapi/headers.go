package httpapi

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"pollenpaddle/internal/connection/budget"
	"pollenpaddle/internal/failure"
)

const (
	// maxHeaders limits the headers of a request, and parsedHeaderBytes is what each takes when it is parsed, beside its name
	// and value. Without the limit, 16 KiB of the shortest headers take 400 KB.
	maxHeaders        = 256
	parsedHeaderBytes = 130
	// maxAddressBytes limits the path and query of a request, of which the HTTP library keeps several copies.
	maxAddressBytes = 2 << 10
	// smallHeaderBytes is the size up to which headers are part of what a connection costs. Larger ones need a grant.
	smallHeaderBytes = 1 << 10
	// keptHeaderBytes is the size up to which the buffers of headers are kept for the next request. The library keeps the
	// longest value of each position: at most some 30 KB with this size.
	keptHeaderBytes = 512
	// refusedAddress replaces an address over the limit. No path of a listener equals it.
	refusedAddress = "*"
)

// headerReceived implements fasthttp.Server.HeaderReceived. It makes the server treat a request that exceeds a limit as one
// that expects 100-continue, so that expect refuses it before any of its body is read.
func (s *Server) headerReceived(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if len(header.RequestURI()) > maxAddressBytes {
		header.SetRequestURI(refusedAddress)
	}
	if header.ContentLength() > s.config.BodyBytes || checkHeaders(header) != nil {
		header.Set(fasthttp.HeaderExpect, "100-continue")
	}
	return fasthttp.RequestConfig{}
}

// checkHeaders returns an error if headers exceed a limit after headerReceived has replaced their address.
func checkHeaders(header *fasthttp.RequestHeader) error {
	switch {
	case string(header.RequestURI()) == refusedAddress:
		return errLongAddress
	case countHeaders(header) > maxHeaders:
		return errManyHeaders
	}
	return nil
}

func countHeaders(header *fasthttp.RequestHeader) int {
	return bytes.Count(header.RawHeaders(), []byte("\n")) - 1 // without the empty line
}

var (
	errManyHeaders = failure.New(failure.TooLarge, "send fewer headers", "the request has more than %d headers; nothing was run", maxHeaders)
	errLongAddress = failure.New(failure.TooLarge, "send a shorter path and query", "the path and query of the request exceed %d bytes; nothing was run", maxAddressBytes)
)

// admitHeaders obtains the bytes that the headers of a request take until its response is written.
func (s *Server) admitHeaders(ctx *fasthttp.RequestCtx, c *guardedConn, class budget.Class) error {
	n := len(ctx.Request.Header.RawHeaders())
	if n <= smallHeaderBytes {
		return nil
	}
	n = 2*n + parsedHeaderBytes*countHeaders(&ctx.Request.Header) // as they were sent, and parsed
	if s.guard.grow(c, class, n) {
		return nil
	}
	return errOverloaded(string(budget.NoBytes))
}

// dropHeaders drops headers above keptHeaderBytes with their buffers.
func dropHeaders(ctx *fasthttp.RequestCtx) {
	if len(ctx.Request.Header.RawHeaders()) > keptHeaderBytes {
		ctx.Request.Header = fasthttp.RequestHeader{}
	}
}
