package router

import (
	"github.com/sirupsen/logrus"

	"github.com/foxtailspool/foxtailspool/logger"
)

var (
	eventCancelGivenUp = logger.Define(6001, logrus.WarnLevel, "cancel given up",
		"An engine did not confirm a cancel within cancel-give-up. It is assumed dead; if it is alive, it may still hold memory for the attempt.")
	eventAttemptFailed = logger.Define(6002, logrus.InfoLevel, "attempt failed",
		"An engine lost or refused an attempt of a model request. The request continues with another attempt if any are left.")
	eventStreamResumed = logger.Define(6003, logrus.InfoLevel, "stream resumed on a new connection",
		"The connection to an engine broke or fell silent in mid-stream; the stream continues on a new one.")
	eventPanicked = logger.Define(6005, logrus.ErrorLevel, "goroutine of a request panicked",
		"A fault of this program ended one try of a call, or the cancel of an attempt; request is its key, fingerprint or attempt. Report the value and the stack.")
	eventCallUnknown = logger.Define(6004, logrus.WarnLevel, "outcome of a call unknown",
		"The answer of a call that must run at most once was lost. Its caller was told that the outcome is unknown; resends get the same.")
)
