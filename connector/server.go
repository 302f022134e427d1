package connector

import (
	"context"
	"crypto/tls"
	"log"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
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
	// while its reader keeps reading.
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
	MaxStreams     int
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
	// TLS holds the certificates; nil serves without TLS.
	TLS     *TLS
	Handler http.Handler
	Log     *logger.Logger
}

// Server is an HTTP server at one address. The supervisor runs it as a service.
type Server struct {
	options     ServerOptions
	http        *http.Server
	listener    net.Listener
	connections *connections
}

// NewServer returns a server that is not listening yet.
func NewServer(options ServerOptions) *Server {
	limits := options.Limits
	s := &Server{options: options, connections: newConnections(limits.MaxConnections)}
	s.http = &http.Server{
		Handler:           limitBody(options.Handler, limits.MaxBodyBytes),
		ReadHeaderTimeout: limits.ReadHeaderTimeout,
		ReadTimeout:       limits.ReadTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		Protocols:         new(http.Protocols),
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: limits.MaxStreams},
		ErrorLog:          log.New(errorWriter{options}, "", 0),
		ConnState:         s.connections.stateChanged,
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

// Listen opens the listener, so that callers can connect. Run calls it if the caller
// has not. It fails with ListenFailed.
func (s *Server) Listen(ctx context.Context) error {
	listener, err := s.options.Network.Listen(ctx, string(s.options.Address))
	if err != nil {
		return ListenFailed.Wrap(err, "%s listener at %s", s.options.Name, s.options.Address)
	}
	limitBuffers(listener, s.options.Limits.BufferBytes)
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
			s.logFull()
		}
	}
}

func (s *Server) logFull() {
	displaced, refused := s.connections.takeCounts()
	if displaced == 0 && refused == 0 {
		return
	}
	fields := s.fields(nil)
	fields["open"], fields["waiting"] = s.connections.counts()
	fields["displaced"], fields["refused"] = displaced, refused
	s.options.Log.Log(EventConnectionsFull, fields)
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

func limitBody(next http.Handler, limit int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, limit)
		next.ServeHTTP(w, r)
	})
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

// dialTLS returns a dial function that uses the current certificates.
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
		return connection, nil
	}
}
