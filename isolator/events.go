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
	eventPartsCrash = logger.Define(3103, logrus.InfoLevel, "engine ended with parts of a prompt in flight",
		"The process of an engine ended while it ran a request of this node; the field parts has the parts of its prompt that other requests share.")
	eventPartQuarantined = logger.Define(3104, logrus.ErrorLevel, "part of prompts quarantined",
		"Requests with this part of a prompt were in flight when several engines ended, and none finished in between; requests with it are refused.")
	eventBadMessage = logger.Define(3102, logrus.WarnLevel, "unreadable isolator message",
		"Another node sent a crash report that cannot be decoded; it was dropped.")
)
