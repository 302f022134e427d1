package starter

import (
	"github.com/sirupsen/logrus"

	"github.com/foxtailspool/foxtailspool/logger"
)

var (
	eventLeaveUnconfirmed = logger.Define(7100, logrus.WarnLevel, "leave not confirmed",
		"No other node confirmed that this node is leaving; they detect it once it is gone.")
	eventConfigurationApplied = logger.Define(7101, logrus.InfoLevel, "configuration applied",
		"This node now uses a later configuration of the operators; decode-ms is how long it took to decode.")
	eventConfigurationInvalid = logger.Define(7102, logrus.ErrorLevel, "invalid configuration ignored",
		"The configuration in the store could not be parsed; the last valid one stays in use.")
	eventBackendsApplied = logger.Define(7103, logrus.InfoLevel, "back ends updated",
		"This node now uses a later list of back ends.")
	eventBackendInvalid = logger.Define(7104, logrus.WarnLevel, "invalid back end ignored",
		"An entry of the list of back ends could not be parsed; the other entries are used.")
)
