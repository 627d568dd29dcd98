package httpapi

import (
	"bytes"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"pollenpaddle/internal/connection/budget"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/process/logging"
)

const (
	// prefetchedBytes is the part of a body that fasthttp reads before it calls the handler. Bodies up to this size need
	// no grant: their buffers are part of what each connection costs, like those of its headers.
	prefetchedBytes = 8 << 10
	// firstChunkBytes is the first grant of a chunked body, and chunkGrowth the factor by which it grows as the body arrives.
	// The old and the new buffer count while the body is copied: a factor of 8 needs an eighth more than the largest body,
	// which the budget has, where doubling would need half as much again.
	firstChunkBytes = 16 << 10
	chunkGrowth     = 8
	// maxCollections is the number of garbage collections after which all that had ended before is free: the first may have
	// been in progress, and the second finds only what had ended when it began.
	maxCollections = 3
	// largeResponseBytes is the size from which on a response counts in the budget while it is written. Smaller ones use the
	// memory that the request had.
	largeResponseBytes = 8 << 10
	// bytesPerObject is the memory that a JSON object or null takes at most when it is decoded into an element of a slice:
	// a task or a step without fields has some 170 bytes, and slices grow by a quarter.
	bytesPerObject = 220
	// bytesPerValue is the same for any other value; a text has 16 bytes beside its characters.
	bytesPerValue = 24
	// freeDecodedBytes is the size up to which a decoded body needs no grant: a job of 110 tasks in one step takes 1 KB.
	freeDecodedBytes = 24 << 10
	// maxDecodedBytes bounds the memory of a decoded body beside its texts. A configuration of 5,000 routes takes 2.5 MB.
	maxDecodedBytes = 8 << 20
)

// errSlowBody reports a body below the minimum rate.
var errSlowBody = failure.New(failure.InvalidArgument, "send the body without pauses", "the body arrives too slowly; nothing was run")

// errOverloaded reports that a limit of the process is reached.
func errOverloaded(cause string) error {
	return failure.New(failure.Unavailable, "retry after the time in Retry-After", "the process has reached its limit on %s of its clients; nothing was run", cause).WithRetryAfter(time.Second)
}

func (s *Server) errTooLarge() error {
	return failure.New(failure.TooLarge, "send a smaller body; docs/settings.md lists the limits", "the request body exceeds the limit of %d bytes; nothing was run", s.config.BodyBytes)
}

func (s *Server) class(ctx *fasthttp.RequestCtx) budget.Class {
	if s.config.Class == nil {
		return budget.Reserved
	}
	return s.config.Class(ctx)
}

// expect implements fasthttp.Server.ExpectHandler. It writes the response to a request that is refused.
func (s *Server) expect(ctx *fasthttp.RequestCtx) int {
	c := guardedBy(ctx.Conn())
	err := checkHeaders(&ctx.Request.Header)
	if err == nil {
		err = s.admitBody(ctx, c, s.class(ctx))
	}
	if err != nil {
		s.refuse(ctx, c, err)
		return ctx.Response.StatusCode()
	}
	return fasthttp.StatusContinue
}

// rejectUnread implements fasthttp.Server.ErrorHandler: the request could not be read. The text of err is not returned
// because it may repeat the headers, which may contain a token.
func (s *Server) rejectUnread(ctx *fasthttp.RequestCtx, err error) {
	c := guardedBy(ctx.Conn())
	var headers *fasthttp.ErrSmallBuffer
	var network net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		s.refuse(ctx, c, s.errTooLarge())
	case errors.As(err, &headers):
		s.refuse(ctx, c, failure.New(failure.TooLarge, "send fewer or shorter headers", "the request headers exceed the limit of %d bytes; nothing was run", MaxHeaderBytes))
		ctx.SetStatusCode(fasthttp.StatusRequestHeaderFieldsTooLarge)
	case errors.As(err, &network) && network.Timeout():
		s.report(logging.RequestsRefused, "timeout")
		s.config.WriteError(ctx, failure.New(failure.InvalidArgument, "send the request without pauses", "the request did not arrive in time; nothing was run"))
		ctx.SetStatusCode(fasthttp.StatusRequestTimeout)
	default:
		s.config.WriteError(ctx, failure.New(failure.InvalidArgument, "send a complete HTTP/1.1 request", "the request is incomplete or not valid HTTP/1.1; nothing was run"))
	}
	dropHeaders(ctx)
}

// refuse responds with err and ends the connection, of whose body a part may still arrive.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, c *guardedConn, err error) {
	cause := string(failure.KindOf(err))
	if err == error(errSlowBody) {
		cause = "slow"
	}
	s.report(logging.RequestsRefused, cause)
	ctx.SetConnectionClose()
	s.config.WriteError(ctx, err)
	switch err {
	case error(errSlowBody):
		ctx.SetStatusCode(fasthttp.StatusRequestTimeout)
	case error(errManyHeaders):
		ctx.SetStatusCode(fasthttp.StatusRequestHeaderFieldsTooLarge)
	case error(errLongAddress):
		ctx.SetStatusCode(fasthttp.StatusRequestURITooLong)
	}
	dropHeaders(ctx)
	c.linger = true
}

// handle reads the body of a request within the budget and carries the request out.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	c, class := guardedBy(ctx.Conn()), s.class(ctx)
	err := s.admitHeaders(ctx, c, class)
	if err == nil {
		err = s.readBody(ctx, c, class)
	}
	if err != nil {
		s.refuse(ctx, c, err)
		return
	}
	g := s.guard
	g.mu.Lock()
	g.observeMemory()
	refused := g.budget.Serve(g.now(), c.id, class)
	g.mu.Unlock()
	if refused != "" {
		s.refuse(ctx, c, errOverloaded(string(refused)))
		return
	}
	s.config.Handler(ctx)
	s.finish(ctx, c)
}

// finish records that the response is ready and counts a large one until it is written.
func (s *Server) finish(ctx *fasthttp.RequestCtx, c *guardedConn) {
	large := 0
	if !ctx.Response.IsBodyStream() {
		if body := ctx.Response.Body(); len(body) > largeResponseBytes {
			large = len(body)
			// The connection does not keep the buffer. SwapBody does not return a body that was set with SetBodyRaw.
			ctx.Response.SwapBody(nil)
			ctx.Response.SetBodyRaw(body)
		}
	}
	g := s.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if ctx.Hijacked() {
		g.budget.Session(g.now(), c.id)
		return
	}
	dropHeaders(ctx)
	g.budget.Writing(g.now(), c.id)
	g.budget.Hold(c.id, large)
}

// admitBody obtains the bytes for the announced body of a request.
func (s *Server) admitBody(ctx *fasthttp.RequestCtx, c *guardedConn, class budget.Class) error {
	length := ctx.Request.Header.ContentLength()
	switch {
	case length > s.config.BodyBytes:
		return s.errTooLarge()
	case length == -1:
		length = min(firstChunkBytes, s.config.BodyBytes)
	case length <= prefetchedBytes:
		return nil
	}
	if c.granted > 0 { // when the client expected 100-continue
		return nil
	}
	if !s.guard.acquire(c, class, length) {
		return errOverloaded(string(budget.NoBytes))
	}
	c.class, c.granted = class, length
	return nil
}

// acquire obtains bytes for a connection and waits for them if need be.
func (g *Guard) acquire(c *guardedConn, class budget.Class, n int) bool {
	g.mu.Lock()
	grant := g.budget.Acquire(c.id, class, n)
	callers, reserved, _ := g.budget.Bytes()
	g.grown = g.grown || callers+reserved >= grownBytes
	if grant != budget.Waiting {
		g.mu.Unlock()
		return grant == budget.Granted
	}
	waiter := make(chan bool, 1)
	c.waiter = waiter
	g.observeNow()
	g.mu.Unlock()
	timer := time.NewTimer(budget.GrantTimeout)
	defer timer.Stop()
	select {
	case granted := <-waiter:
		return granted
	case <-timer.C:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.waiter == nil {
		return <-waiter // ended at the same time
	}
	c.waiter = nil
	g.wake(g.budget.Release(c.id))
	return false
}

// release ends the grants for the body of a connection and its decoded values.
func (g *Guard) release(c *guardedConn) {
	n := c.granted
	c.granted = 0
	if n > 0 {
		g.shrink(c, c.class, n)
	}
}

// readBody replaces the body stream of a request by the whole body.
func (s *Server) readBody(ctx *fasthttp.RequestCtx, c *guardedConn, class budget.Class) error {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return nil
	}
	if err := s.admitBody(ctx, c, class); err != nil {
		return err
	}
	length := ctx.Request.Header.ContentLength()
	if length >= 0 && length <= prefetchedBytes {
		// fasthttp has read all of it into the buffer of the request, which becomes the body again.
		if _, err := io.Copy(io.Discard, stream); err != nil {
			return errIncompleteBody(err)
		}
		return ctx.Request.CloseBodyStream()
	}
	c.rate = &budget.Rate{}
	var body []byte
	var err error
	if length >= 0 {
		body = make([]byte, length)
		_, err = io.ReadFull(stream, body)
	} else {
		body, err = s.readChunks(stream, c, class)
	}
	c.rate = nil
	if err != nil {
		s.guard.release(c)
		return errIncompleteBody(err)
	}
	ctx.Request.SetBodyRaw(body)
	return nil
}

// errIncompleteBody returns a typed error for a body that could not be read.
func errIncompleteBody(err error) error {
	var typed *failure.Error
	if errors.As(err, &typed) {
		return err
	}
	return failure.New(failure.InvalidArgument, "send a complete HTTP/1.1 request", "the request body is incomplete or not valid; nothing was run")
}

// readChunks reads a body of unknown size into a buffer that grows within the budget.
func (s *Server) readChunks(reader io.Reader, c *guardedConn, class budget.Class) ([]byte, error) {
	limit := s.config.BodyBytes
	body := make([]byte, 0, min(firstChunkBytes, limit))
	for {
		n, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		case len(body) < cap(body):
			continue
		case len(body) == limit:
			if err := expectEnd(reader); err != nil {
				return nil, s.errTooLarge()
			}
			return body, nil
		}
		size := min(chunkGrowth*cap(body), limit)
		if !s.guard.grow(c, class, size) {
			return nil, errOverloaded(string(budget.NoBytes))
		}
		grown := append(make([]byte, 0, size), body...)
		s.guard.shrink(c, class, cap(body))
		c.granted += size - cap(body)
		body = grown
	}
}

// expectEnd returns an error unless the body ends here.
func expectEnd(reader io.Reader) error {
	var next [1]byte
	if n, err := reader.Read(next[:]); n > 0 || !errors.Is(err, io.EOF) {
		return errors.New("the body does not end here")
	}
	return nil
}

// grow obtains more bytes for a connection. If garbage keeps them from it, the garbage is collected first.
func (g *Guard) grow(c *guardedConn, class budget.Class, n int) bool {
	for collections := 0; ; collections++ {
		g.mu.Lock()
		granted, collectable := g.budget.Grow(c.id, class, n), g.budget.Collectable(class, n)
		g.mu.Unlock()
		if granted || !collectable || collections == maxCollections {
			return granted
		}
		g.collect()
	}
}

func (g *Guard) shrink(c *guardedConn, class budget.Class, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wake(g.budget.Shrink(c.id, class, n))
}

// ReleaseBody drops the body of a request that was decoded, unless it is small, and ends its grant. A job that waits for
// its response then holds none of the budget.
func ReleaseBody(ctx *fasthttp.RequestCtx) {
	if c := guardedBy(ctx.Conn()); c != nil && c.granted > 0 {
		ctx.Request.ResetBody()
		c.server.guard.release(c)
	}
}

// ReserveDecoding obtains the memory that the values and the texts of a JSON body take when they are decoded, which may exceed
// the size of the body many times. It returns an error if the values can take too much, or if the memory is not available now.
func ReserveDecoding(ctx *fasthttp.RequestCtx) error {
	body := ctx.PostBody()
	n := DecodedBytes(body)
	if n > maxDecodedBytes {
		return failure.New(failure.TooLarge, "send fewer objects and values", "the request body may take %d bytes when it is decoded, the limit is %d; nothing was run", n, maxDecodedBytes)
	}
	n += len(body) // the texts
	c := guardedBy(ctx.Conn())
	if c == nil || n <= freeDecodedBytes {
		return nil
	}
	class := c.server.class(ctx)
	if !c.server.guard.grow(c, class, n) {
		c.server.report(logging.RequestsRefused, string(budget.NoBytes))
		return errOverloaded(string(budget.NoBytes))
	}
	c.class, c.granted = class, c.granted+n
	return nil
}

// DecodedBytes returns an upper bound of the memory that the values of a JSON document take when they are decoded, without
// the characters of its texts. The document need not be valid.
func DecodedBytes(document []byte) int {
	n := bytesPerValue
	for {
		text := bytes.IndexByte(document, '"')
		outside := document
		if text >= 0 {
			outside = document[:text]
		}
		for _, b := range outside {
			switch b {
			case '{', 'n': // an object or null
				n += bytesPerObject
			case ',', '[':
				n += bytesPerValue
			}
		}
		if text < 0 {
			return n
		}
		document = afterText(document[text+1:])
	}
}

// afterText returns what follows the text that document begins with.
func afterText(document []byte) []byte {
	for k := 0; k < len(document); k++ {
		switch document[k] {
		case '\\':
			k++
		case '"':
			return document[k+1:]
		}
	}
	return nil
}
