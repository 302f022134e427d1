package connector

import (
	"github.com/sirupsen/logrus"

	"github.com/foxtailspool/foxtailspool/logger"
)

// The events of listeners and their certificates.
var (
	EventListening = logger.Define(1010, logrus.InfoLevel, "listening",
		"A listener is open; connections can be made.")
	EventListenerClosed = logger.Define(1011, logrus.InfoLevel, "listener closed",
		"A listener was closed after its open requests ended.")
	EventRequestsCut = logger.Define(1012, logrus.WarnLevel, "requests cut at shutdown",
		"Requests were still open when the finish timeout ran out. Raise drain.finish-timeout if they were wanted.")
	EventConnectionFailed = logger.Define(1013, logrus.DebugLevel, "connection failed",
		"A connection ended in its TLS handshake or by a protocol error of the other side.")
	EventTLSReloaded = logger.Define(1014, logrus.InfoLevel, "certificates reloaded",
		"A TLS file changed; new connections use what it holds now.")
	EventTLSRefused = logger.Define(1015, logrus.ErrorLevel, "certificates refused",
		"A changed TLS file cannot be read or used; the earlier certificates stay in force. Repair the file.")
)
