package connector

import (
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
			panic(http.ErrAbortHandler)
		}()
		options.Handler.ServeHTTP(w, r)
	})
}
