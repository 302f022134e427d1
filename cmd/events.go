package cmd

import (
	"github.com/sirupsen/logrus"

	"github.com/foxtailspool/foxtailspool/logger"
)

// Process lifecycle events.
var (
	EventStarting = logger.Define(1000, logrus.InfoLevel, "node starting",
		"The settings are valid and the node is being assembled.")
	EventStopped = logger.Define(1001, logrus.InfoLevel, "node stopped",
		"The node has drained and exits with code 0.")
	EventDraining = logger.Define(1002, logrus.InfoLevel, "node draining",
		"The node received a stop signal. It removes itself from the list of entry addresses, then finishes its open streams. A repeated SIGTERM logs this again and changes nothing.")
	EventSecondSignal = logger.Define(1003, logrus.WarnLevel, "node ended by a second signal",
		"The node received SIGINT while it drained and exits immediately. Its open streams are cut; callers resume them through other nodes.")
	EventSettingsChecked = logger.Define(1005, logrus.InfoLevel, "settings file checked",
		"The node received SIGHUP. If the field changed is true, the file has settings that take effect at the next start.")
	EventSettingsRefused = logger.Define(1006, logrus.WarnLevel, "settings file refused",
		"The node received SIGHUP and cannot use the settings file; the field error gives the cause. It keeps running with its settings, but cannot start with that file.")
	EventLinesDropped = logger.Define(1050, logrus.WarnLevel, "log lines dropped",
		"The log output was read too slowly. The field count is the number of lines dropped before this one.")
	EventFailed = logger.Define(1004, logrus.ErrorLevel, "node failed",
		"The node cannot start or continue; the field error gives the cause. It exits with code 7.")
)
