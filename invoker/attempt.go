package invoker

import (
	"strconv"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// AttemptID names the engines' stream of an attempt of a request.
func AttemptID(request identifier.Request, number uint64) identifier.Attempt {
	return identifier.Attempt(string(request) + "." + strconv.FormatUint(number, 36))
}
