package isolator

import (
	"github.com/sirupsen/logrus"

	"github.com/foxtailspool/foxtailspool/logger"
)

var (
	eventCrash = logger.Define(3100, logrus.WarnLevel, "backend server crashed with requests in flight",
		"The requests go on elsewhere; one that is in flight at another crash is held.")
	eventHeld = logger.Define(3101, logrus.ErrorLevel, "poison request held",
		"The request was in flight at crashes of two different backend servers; it is refused until its record expires.")
	eventBadMessage = logger.Define(3102, logrus.WarnLevel, "unreadable isolator message",
		"Another node sent a crash report that cannot be read; it was dropped.")
)
