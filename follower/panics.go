package follower

import (
	"runtime/debug"

	"github.com/foxtailspool/foxtailspool/logger"
)

// recoverPanic makes a read fail that panics. Requests for unknown names start reads, and
// content that made all nodes end would come again after each start.
func (f *Follower) recoverPanic(source string, ok *bool) {
	value := recover()
	if value == nil {
		return
	}
	*ok = false
	f.panics.Inc(1)
	fields := logger.PanicFields(value, debug.Stack())
	fields["source"] = source
	f.options.Log.Log(eventPanicked, fields)
}
