package follower

import (
	"fmt"
	"runtime/debug"

	"github.com/foxtailspool/foxtailspool/logger"
)

// maxStackBytes bounds the stack in a log line.
const maxStackBytes = 4 << 10

// recoverPanic makes a read fail that panics. Requests for unknown names start reads, and
// content that made all nodes end would come again after each start.
func (f *Follower) recoverPanic(source string, ok *bool) {
	value := recover()
	if value == nil {
		return
	}
	*ok = false
	f.panics.Inc(1)
	stack := debug.Stack()
	f.options.Log.Log(eventPanicked, logger.Fields{"source": source, "panic": fmt.Sprint(value), "stack": string(stack[:min(len(stack), maxStackBytes)])})
}
