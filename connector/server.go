package connector

import (
	"context"
	"crypto/tls"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/limiter"
	"github.com/foxtailspool/foxtailspool/logger"
)

// The error types of servers.
var (
	// ListenFailed: the listener could not be opened.
	ListenFailed = Errors.NewType("not-listening")
	// ServeFailed: the server stopped because its listener failed.
	ServeFailed = Errors.NewType("broken")
)

// ServerLimits holds the timeouts and limits of a server. All must be positive.
type ServerLimits struct {
	// ReadHeaderTimeout bounds the wait for a request's header and for a TLS handshake.
	ReadHeaderTimeout time.Duration
	// ReadTimeout bounds the wait for a request's header and body together.
	ReadTimeout time.Duration
	// WriteTimeout bounds each write, not the whole answer, so that a stream may last longer
	// while its reader keeps reading. AwaitReader extends it.
	WriteTimeout time.Duration
	IdleTimeout  time.Duration
	// FinishTimeout bounds the wait for open requests when the server shuts down.
	FinishTimeout time.Duration
	// MaxConnections bounds the open connections. At the bound, a new connection takes the
	// place of the one that has waited longest for a request, and is closed if none waits.
	MaxConnections int
	// BufferBytes bounds the bytes that the kernel holds for each direction of a connection: those
	// not read yet, and those not sent yet because the client does not read. Zero selects the
	// system's sizes, which grow to megabytes.
	BufferBytes int
	// MaxStreams bounds the concurrent requests on one HTTP/2 connection.
	MaxStreams int
	// HTTP2Bytes is what each HTTP/2 connection takes of ServerOptions.Headers, for its buffers and
	// the streams that have begun; zero takes nothing.
	HTTP2Bytes     int64
	MaxHeaderBytes int
	// MaxBodyBytes bounds the body of a request, in bytes; reading more fails with
	// http.MaxBytesError.
	MaxBodyBytes int64
}

// ServerOptions configures a server.
type ServerOptions struct {
	// Name identifies the listener in log events.
	Name    string
	Address identifier.Address
	Network Network
	Limits  ServerLimits
	// Timeouts, if set, returns the present timeouts for clients, in place of
	// ReadHeaderTimeout and IdleTimeout of Limits. They are checked each second, and must
	// not be set together with TLS.
	Timeouts func() Timeouts
	// Headers bounds the memory of the headers that clients send, and Bodies that of the bodies
	// that the handler reads; nil means no bound besides that of each one.
	Headers, Bodies *limiter.Memory
	// TLS holds the certificates; nil serves without TLS.
	TLS     *TLS
	Handler http.Handler
	// RequestHeader names the header field with the id of a request, for the log; it may be
	// empty.
	RequestHeader string
	Log           *logger.Logger
	// Scope receives the metrics; nil discards them.
	Scope tally.Scope
}

// Server is an HTTP server at one address. The supervisor runs it as a service.
type Server struct {
	options     ServerOptions
	http        *http.Server
	listener    net.Listener
	connections *connections
	scope       tally.Scope
}

// NewServer returns a server that is not listening yet.
func NewServer(options ServerOptions) *Server {
	limits := options.Limits
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	s := &Server{
		options:     options,
		connections: newConnections(limits.MaxConnections, options.Headers, limits.HTTP2Bytes),
		scope:       options.Scope.SubScope("connector").Tagged(map[string]string{"listener": options.Name}),
	}
	s.http = &http.Server{
		Handler:           limitBody(recoverPanics(options), limits.MaxBodyBytes, options.Bodies),
		ReadHeaderTimeout: limits.ReadHeaderTimeout,
		ReadTimeout:       limits.ReadTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		Protocols:         new(http.Protocols),
		HTTP2:             limits.http2(),
		ErrorLog:          log.New(errorWriter{options}, "", 0),
		ConnState:         s.connections.stateChanged,
		ConnContext:       withConnection,
	}
	if options.Timeouts != nil {
		// Negative values disable net/http's own timeouts, which can't change.
		s.http.ReadHeaderTimeout, s.http.IdleTimeout = -1, -1
	}
	s.http.Protocols.SetHTTP1(true)
	s.http.Protocols.SetHTTP2(true)
	s.http.Protocols.SetUnencryptedHTTP2(true)
	if options.TLS != nil {
		s.http.TLSConfig = options.TLS.ServerConfig()
	}
	return s
}

// http2WindowBytes is the least window of an HTTP/2 connection that net/http allows.
const http2WindowBytes = 64 << 10

// http2 returns the limits of HTTP/2 connections. Limited buffers include the bytes that a
// connection has read and its handlers have not.
func (l ServerLimits) http2() *http.HTTP2Config {
	limits := &http.HTTP2Config{MaxConcurrentStreams: l.MaxStreams}
	if l.BufferBytes > 0 {
		window := max(http2WindowBytes, l.BufferBytes)
		limits.MaxReceiveBufferPerConnection, limits.MaxReceiveBufferPerStream = window, window
	}
	return limits
}

// Listen opens the listener, so that callers can connect. Run calls it if the caller
// has not. It fails with ListenFailed.
func (s *Server) Listen(ctx context.Context) error {
	listener, err := s.options.Network.Listen(ctx, string(s.options.Address))
	if err != nil {
		return ListenFailed.Wrap(err, "%s listener at %s", s.options.Name, s.options.Address)
	}
	limitBuffers(listener, s.options.Limits.BufferBytes)
	limitPending(listener, s.options.Limits)
	s.options.Log.Log(EventListening, s.fields(nil))
	s.listener = trackedListener{listener, s.connections, s.options.Limits.WriteTimeout}
	return nil
}

// Run serves until ctx ends. It then accepts no new connections and waits up to
// ServerLimits.FinishTimeout for open requests, whose contexts do not end with ctx. It fails
// with ListenFailed or ServeFailed.
func (s *Server) Run(ctx context.Context) error {
	if s.listener == nil {
		if err := s.Listen(ctx); err != nil {
			return err
		}
	}
	watchCtx, stopWatching := context.WithCancel(context.WithoutCancel(ctx))
	watched := make(chan struct{})
	go func() { defer close(watched); s.watchConnections(watchCtx) }()
	defer func() { stopWatching(); <-watched }()
	served := make(chan error, 1)
	go func() { served <- s.serve() }()
	select {
	case err := <-served:
		return ServeFailed.Wrap(err, "%s listener", s.options.Name)
	case <-ctx.Done():
	}
	s.shutdown(ctx)
	<-served
	s.options.Log.Log(EventListenerClosed, s.fields(nil))
	return nil
}

func (s *Server) serve() error {
	if s.options.TLS != nil {
		return s.http.ServeTLS(s.listener, "", "")
	}
	return s.http.Serve(s.listener)
}

func (s *Server) shutdown(ctx context.Context) {
	finish, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.options.Limits.FinishTimeout)
	defer cancel()
	if err := s.http.Shutdown(finish); err != nil {
		s.options.Log.Log(EventRequestsAborted, s.fields(err))
		_ = s.http.Close()
	}
	s.awaitReaders(finish)
}

// lingerInterval is the time between two checks of lingering connections at shutdown.
const lingerInterval = 20 * time.Millisecond

// awaitReaders waits until the clients have read the answers of closed connections, or ctx ends.
// The kernel goes on sending what is left then.
func (s *Server) awaitReaders(ctx context.Context) {
	ticker := time.NewTicker(lingerInterval)
	defer ticker.Stop()
	for s.connections.closeRead(time.Now()) > 0 {
		select {
		case <-ctx.Done():
			s.connections.abandonLingering(time.Now())
			return
		case <-ticker.C:
		}
	}
}

// watchInterval is the time between two checks of the connections.
const watchInterval = time.Second

// watchConnections closes connections that exceed Options.Timeouts, and logs how many were
// closed because of MaxConnections, until ctx ends.
func (s *Server) watchConnections(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if s.options.Timeouts != nil {
				s.connections.closeExpired(now, s.options.Timeouts())
			}
			s.connections.closeRead(now)
			s.logClosed()
		}
	}
}

func (s *Server) logClosed() {
	counts := s.connections.takeCounts()
	if counts.stalled > 0 || counts.vanished > 0 {
		s.scope.Counter("stalled-readers").Inc(int64(counts.stalled))
		s.scope.Counter("vanished-readers").Inc(int64(counts.vanished))
		fields := s.fields(nil)
		fields["stalled"], fields["vanished"] = counts.stalled, counts.vanished
		s.options.Log.Log(EventNotRead, fields)
	}
	fields := s.fields(nil)
	fields["open"], fields["waiting"] = s.connections.counts()
	if counts.headers > 0 {
		fields["closed"] = counts.headers
		s.options.Log.Log(EventHeadersFull, fields)
		delete(fields, "closed")
	}
	if counts.displaced > 0 || counts.refused > 0 {
		fields["displaced"], fields["refused"] = counts.displaced, counts.refused
		s.options.Log.Log(EventConnectionsFull, fields)
	}
}

// Connections returns the number of open connections, and of those that wait for a request.
func (s *Server) Connections() (open, waiting int) { return s.connections.counts() }

func (s *Server) fields(err error) logger.Fields {
	fields := logger.Fields{"listener": s.options.Name, "address": s.options.Address, "tls": s.options.TLS != nil}
	if err != nil {
		fields["error"] = err.Error()
	}
	return fields
}

func limitBody(next http.Handler, limit int64, memory *limiter.Memory) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, limit)
		if memory != nil && r.ContentLength != 0 {
			lease := memory.NewLease()
			defer lease.Release()
			controller := http.NewResponseController(w)
			lease.Await(func() { _ = controller.SetReadDeadline(time.Unix(1, 0)) })
			r.Body = &leasedBody{ReadCloser: r.Body, lease: lease}
		}
		next.ServeHTTP(w, r)
	})
}

// leasedBody takes memory for what is read of a body. It fails with limiter.ErrNoMemory if there
// is no room, or if there was none for others while the body made no progress.
type leasedBody struct {
	io.ReadCloser
	lease *limiter.Lease
}

// readFactor is the memory of a body that is read whole for each of its bytes: a buffer that
// grows is as large as its content once more.
const readFactor = 2

func (b *leasedBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	b.lease.Progress(int64(n))
	if n > 0 && !b.lease.Grow(int64(n)*readFactor) {
		return 0, limiter.ErrNoMemory
	}
	if err != nil && !b.lease.EndAwait() {
		return 0, limiter.ErrNoMemory
	}
	return n, err
}

// errorWriter converts the log lines of net/http to events.
type errorWriter struct {
	options ServerOptions
}

func (w errorWriter) Write(line []byte) (int, error) {
	w.options.Log.Log(EventConnectionFailed, logger.Fields{
		"listener": w.options.Name,
		"error":    strings.TrimSpace(string(line)),
	})
	return len(line), nil
}

// dialTLS returns a dial function that uses the current certificates. With HTTP/1 its connections
// see the answers as they are inside TLS, as dial's see those of plain connections.
func (n Network) dialTLS(limits Limits) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, limits.DialTimeout)
		defer cancel()
		raw, err := n.dial(ctx, network, address, limits)
		if err != nil {
			return nil, err
		}
		config := limits.TLS.clientConfig(limits.PingInterval > 0)
		if host, _, err := net.SplitHostPort(address); err == nil {
			config.ServerName = host
		}
		connection := tls.Client(raw, config)
		if err := connection.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, err
		}
		if limits.PingInterval > 0 {
			return connection, nil
		}
		return newExchangeConn(VerifyEnd(connection)), nil
	}
}
