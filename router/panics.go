package router

import "github.com/foxtailspool/foxtailspool/logger"

func panicFields(request string, value any, stack []byte) logger.Fields {
	fields := logger.PanicFields(value, stack)
	fields["request"] = request
	return fields
}
