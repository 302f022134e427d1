package router

import (
	"fmt"

	"github.com/foxtailspool/foxtailspool/logger"
)

// maxStackBytes bounds the stack in a log line.
const maxStackBytes = 4 << 10

func panicFields(request string, value any, stack []byte) logger.Fields {
	return logger.Fields{"request": request, "panic": fmt.Sprint(value), "stack": string(stack[:min(len(stack), maxStackBytes)])}
}
