package invoker

import (
	"strconv"
	"strings"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// AttemptID returns the id under which engines run an attempt of a request.
func AttemptID(request identifier.Request, number uint64) identifier.Attempt {
	return identifier.Attempt(string(request) + "." + strconv.FormatUint(number, 36))
}

// ParseAttemptID returns the request and the attempt number of an id that
// AttemptID made, and false for ids that other users of an engine chose.
func ParseAttemptID(attempt identifier.Attempt) (identifier.Request, uint64, bool) {
	dot := strings.LastIndexByte(string(attempt), '.')
	if dot <= 0 {
		return "", 0, false
	}
	number, err := strconv.ParseUint(string(attempt[dot+1:]), 36, 64)
	return identifier.Request(attempt[:dot]), number, err == nil
}
