package connector

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"runtime/debug"

	"github.com/foxtailspool/foxtailspool/logger"
)

// recoverPanics logs and counts the panics of a server's handler and closes the connection of
// the request, which may have run. http.ErrAbortHandler passes as it is.
func recoverPanics(options ServerOptions) http.Handler {
	panics := options.Scope.SubScope("connector").Tagged(map[string]string{"listener": options.Name}).Counter("panics")
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			value := recover()
			if value == nil {
				return
			}
			if value != http.ErrAbortHandler { //nolint:errorlint // net/http compares it in the same way.
				panics.Inc(1)
				fields := logger.PanicFields(value, debug.Stack())
				fields["listener"] = options.Name
				if options.RequestHeader != "" {
					fields["request"] = r.Header.Get(options.RequestHeader)
				}
				options.Log.Log(EventPanicked, fields)
			}
			if !r.ProtoAtLeast(1, 1) {
				// An answer without a length ends with its connection, so closing that in order would
				// make a part look complete.
				resetOnClose(r.Context())
			}
			panic(http.ErrAbortHandler)
		}()
		options.Handler.ServeHTTP(w, r)
	})
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// withConnection adds a request's connection to its context. It is the ConnContext hook of an
// http.Server.
func withConnection(ctx context.Context, connection net.Conn) context.Context {
	if secured, ok := connection.(*tls.Conn); ok {
		connection = secured.NetConn()
	}
	return context.WithValue(ctx, connectionKey{}, connection)
}

// resetOnClose makes the close of a request's connection reset it.
func resetOnClose(ctx context.Context) {
	c, ok := ctx.Value(connectionKey{}).(*trackedConn)
	if !ok {
		return
	}
	c.resets.Store(true)
	if lingerer, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = lingerer.SetLinger(0)
	}
}
