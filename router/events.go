package router

import (
	"github.com/sirupsen/logrus"

	"github.com/foxtailspool/foxtailspool/logger"
)

var (
	cancelGivenUp = logger.Define(6001, logrus.WarnLevel, "cancel given up",
		"An engine did not confirm a cancel for the time of cancel-give-up. It is taken for gone; if it is not, it may still hold memory for the attempt.")
	attemptFailed = logger.Define(6002, logrus.InfoLevel, "attempt failed",
		"An engine lost or refused an attempt of a model request. The request goes on with another attempt while attempts are left.")
	streamResumed = logger.Define(6003, logrus.InfoLevel, "stream resumed on a new connection",
		"The connection to an engine broke or fell silent in mid-stream; the stream goes on over a new one.")
	callUnknown = logger.Define(6004, logrus.WarnLevel, "outcome of a call unknown",
		"The answer of a call that may not be repeated was lost. Its caller was told that the outcome is unknown; resends get the same.")
)
