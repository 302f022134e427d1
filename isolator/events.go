package isolator

import (
	"github.com/sirupsen/logrus"

	"github.com/foxtailspool/foxtailspool/logger"
)

var (
	eventCrash = logger.Define(3100, logrus.WarnLevel, "backend server crashed with requests in flight",
		"The requests continue on other backend servers; one that is in flight at a second crash is quarantined.")
	eventQuarantined = logger.Define(3101, logrus.ErrorLevel, "poison request quarantined",
		"The request was in flight at crashes of two different backend servers; it is refused until its record expires.")
	eventBadMessage = logger.Define(3102, logrus.WarnLevel, "unreadable isolator message",
		"Another node sent a crash report that cannot be decoded; it was dropped.")
)
