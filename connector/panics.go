package connector

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/foxtailspool/foxtailspool/logger"
)

// maxStackBytes bounds the stack in a log line.
const maxStackBytes = 4 << 10

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
				fields := logger.Fields{"listener": options.Name, "panic": fmt.Sprint(value)}
				if options.RequestHeader != "" {
					fields["request"] = r.Header.Get(options.RequestHeader)
				}
				stack := debug.Stack()
				fields["stack"] = string(stack[:min(len(stack), maxStackBytes)])
				options.Log.Log(EventPanicked, fields)
			}
			panic(http.ErrAbortHandler)
		}()
		options.Handler.ServeHTTP(w, r)
	})
}
