package starter

import (
	"github.com/sirupsen/logrus"

	"github.com/foxtailspool/foxtailspool/logger"
)

var (
	eventLeaveUnheard = logger.Define(7100, logrus.WarnLevel, "leaving not heard",
		"No other node confirmed that this one leaves; they find out when it is gone.")
	eventConfigured = logger.Define(7101, logrus.InfoLevel, "configuration in force",
		"A later configuration of the operators is in force on this node.")
	eventConfigurationUnreadable = logger.Define(7102, logrus.ErrorLevel, "configuration unreadable",
		"The store holds a configuration that cannot be read; the last good one stays in force.")
	eventListed = logger.Define(7103, logrus.InfoLevel, "back ends listed",
		"A later list of back ends is in force on this node.")
	eventBackendUnreadable = logger.Define(7104, logrus.WarnLevel, "back end unreadable",
		"An entry of the list of back ends cannot be read and names none; the others hold.")
)
