package connector

import (
	"github.com/sirupsen/logrus"

	"github.com/foxtailspool/foxtailspool/logger"
)

// The log events of listeners and their certificates.
var (
	EventListening = logger.Define(1010, logrus.InfoLevel, "listening",
		"A listener is open; connections can be made.")
	EventListenerClosed = logger.Define(1011, logrus.InfoLevel, "listener closed",
		"A listener was closed after its open requests ended.")
	EventRequestsAborted = logger.Define(1012, logrus.WarnLevel, "open requests aborted at shutdown",
		"Requests were still open when the finish timeout expired, and their connections were closed. Raise drain.finish-timeout to let them complete.")
	EventConnectionFailed = logger.Define(1013, logrus.DebugLevel, "connection failed",
		"A connection failed in its TLS handshake or because of a protocol error of the other side.")
	EventConnectionsFull = logger.Define(1016, logrus.WarnLevel, "connections closed at the limit",
		"A listener had as many connections as it may. In the last second, displaced ones that waited for a request were closed for newer ones, and refused ones were closed at once because none waited. Clients leave connections open, or there are too few nodes.")
	EventPanicked = logger.Define(1018, logrus.ErrorLevel, "request handler panicked",
		"A fault of this program ended one request, whose connection was closed. Report the value and the stack.")
	EventHeadersFull = logger.Define(1017, logrus.WarnLevel, "connections closed for the memory of headers",
		"The headers that clients have sent in part, or whose requests are in progress, fill the memory for them. In the last second, connections whose headers had taken longest to arrive were closed. Clients send large or unfinished headers.")
	EventNotRead = logger.Define(1019, logrus.WarnLevel, "connections closed because answers were not read",
		"In the last second, writes of answers failed: stalled ones because the client took nothing until its deadline or the write timeout, vanished ones because its system acknowledged nothing any more.")
	EventTLSReloaded = logger.Define(1014, logrus.InfoLevel, "certificates reloaded",
		"A TLS file changed; new connections use its new content.")
	EventTLSReloadFailed = logger.Define(1015, logrus.ErrorLevel, "certificates refused",
		"A changed TLS file cannot be read or used; the previous certificates stay in use. Repair the file.")
)
