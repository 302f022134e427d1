package administrator

import (
	"github.com/sirupsen/logrus"

	"github.com/foxtailspool/foxtailspool/logger"
)

// The log events of the operators' interface.
var (
	EventEditAccepted = logger.Define(1030, logrus.InfoLevel, "tables accepted",
		"An operator's edit was accepted through this node and has the number given. It comes into force in the unreached data centres once they can be reached.")
	EventEditFailed = logger.Define(1031, logrus.WarnLevel, "tables not accepted",
		"An operator's edit was not accepted. With reason unknown, read the tables in force before another try.")
)
