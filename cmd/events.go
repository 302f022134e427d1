package cmd

import (
	"github.com/sirupsen/logrus"

	"github.com/foxtailspool/foxtailspool/logger"
)

// The events of a process's life.
var (
	EventStarting = logger.Define(1000, logrus.InfoLevel, "node starting",
		"The settings are accepted and the node is being assembled.")
	EventStopped = logger.Define(1001, logrus.InfoLevel, "node stopped",
		"The node has drained and ends with exit code 0.")
	EventDraining = logger.Define(1002, logrus.InfoLevel, "node draining",
		"The node was told to stop: it leaves the address answer, then finishes its streams.")
	EventKilled = logger.Define(1003, logrus.WarnLevel, "node ended by a second signal",
		"The node ends at once; its open streams are cut, and callers resume them through other nodes.")
	EventLinesDropped = logger.Define(1050, logrus.WarnLevel, "log lines dropped",
		"The output was read too slowly; the field count says how many lines are missing before this one.")
	EventBroke = logger.Define(1004, logrus.ErrorLevel, "node broke off",
		"The node cannot start or go on; the error says why. It ends with exit code 7.")
)
